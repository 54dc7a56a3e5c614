#include "sardinestream/maps/map_planner.h"
