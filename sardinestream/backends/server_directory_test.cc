#include "sardinestream/backends/server_directory.h"
