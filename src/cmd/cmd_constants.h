// Times of the programs.
#pragma once

namespace corkmux::constants {

inline constexpr double kKubeRetry = 10;  // s until an address that could not be had is tried again

}  // namespace corkmux::constants
