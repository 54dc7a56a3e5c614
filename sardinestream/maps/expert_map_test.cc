#include "sardinestream/maps/expert_map.h"
