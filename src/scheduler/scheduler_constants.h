// Limits of the scheduler that other modules of the controllers use as well.
#pragma once
#include <cstddef>

namespace corkmux::constants {

inline constexpr double kCancelReserve = 3.0;             // s allowed for a stop command to take effect
inline constexpr std::size_t kFinishedJobsCached = 4000;  // finished jobs kept in memory

}  // namespace corkmux::constants
