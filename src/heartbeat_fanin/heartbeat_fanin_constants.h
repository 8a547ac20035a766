// Limits that the heartbeat fan-in and the leader share.
#pragma once
#include <cstddef>

namespace corkmux::constants {

inline constexpr double kCommandTimeout = 3.0;         // s; a machine answers within milliseconds or hangs
inline constexpr std::size_t kBatchBytes = 48 * 1024;  // of one batch; a request may have 64 KiB

}  // namespace corkmux::constants
