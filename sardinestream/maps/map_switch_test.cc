#include "sardinestream/maps/map_switch.h"
