// Delays used by the programs.
#pragma once

namespace corkmux::constants {

inline constexpr double kKubeRetry = 10;  // s until binding the Kubernetes API's address is retried

}  // namespace corkmux::constants
