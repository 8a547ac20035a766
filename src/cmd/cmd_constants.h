// Times of the programs.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- Kubernetes-style clients ---
inline constexpr double kKubeRetry = 10;  // s until an address that could not be had is tried again

}  // namespace corkmux::constants
