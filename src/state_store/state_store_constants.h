// Limits of requests to the cloud's interface.
#pragma once

namespace corkmux::constants {

inline constexpr double kCloudTimeout = 4.0;  // s

}  // namespace corkmux::constants
