// The moments that stand for "never" and "long ago" are in time_constants.h.
#pragma once
#include "time_constants.h"
