// Includes everything an actor runs on: the loop, timers, clocks and the actor base class. The only source of
// time, timers and randomness: libev and the system in the programs, a Runtime in a simulation
// (`src/simulation/`).
#pragma once
#include "actor.h"
#include "clock.h"
#include "io_watcher.h"
#include "loop.h"
#include "runtime.h"
#include "signal_watcher.h"
#include "timer.h"
