// Limits of the scheduler that the controllers keep to as well.
#pragma once
#include <cstddef>

namespace corkmux::constants {

inline constexpr double kCancelReserve = 3.0;     // s kept for a stop command to take effect
inline constexpr std::size_t kFinalCache = 4000;  // finished jobs remembered

}  // namespace corkmux::constants
