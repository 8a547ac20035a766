// Clocks and random seeds: from the system, or from the runtime in a simulation.
#pragma once
#include <time.h>

#include <cstdint>
#include <random>

#include "runtime.h"

namespace corkmux {

/// Reads a system clock, in seconds.
inline double read_system_clock(clockid_t clock) {
  constexpr double kSecondsPerNanosecond = 1e-9;
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) + kSecondsPerNanosecond * static_cast<double>(time.tv_nsec);
}

/// Seconds on the steady clock; only differences are meaningful.
inline double steady_now() {
  return Runtime::in_use ? Runtime::in_use->steady() : read_system_clock(CLOCK_MONOTONIC);
}

/// Seconds since 1970. Accurate only within the platform's clock skew, so safety must not depend on it.
inline double wall_now() {
  return Runtime::in_use ? Runtime::in_use->wall() : read_system_clock(CLOCK_REALTIME);
}

/// An unpredictable seed; in a simulation, the next number of the runtime's generator.
inline std::uint64_t fresh_seed() {
  return Runtime::in_use ? Runtime::in_use->random() : std::uint64_t{std::random_device{}()};
}

}  // namespace corkmux
