#include "sardinestream/backends/choose_server.h"
