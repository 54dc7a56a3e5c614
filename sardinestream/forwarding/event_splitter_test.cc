#include "sardinestream/forwarding/event_splitter.h"
