#include "sardinestream/backends/server_state.h"
