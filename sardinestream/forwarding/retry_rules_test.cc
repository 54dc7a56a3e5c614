#include "sardinestream/forwarding/retry_rules.h"
