// Limits on parsed input.
#pragma once
#include <cstddef>

namespace corkmux::constants {

inline constexpr int kMaxTasks = 100000;        // of a job; set by the protocol
inline constexpr std::size_t kMaxText = 200;    // bytes of an accepted name; the state store's limit for keys
inline constexpr std::size_t kMaxJobId = 64;    // bytes
inline constexpr std::size_t kMaxAddress = 64;  // bytes
inline constexpr std::size_t kMaxTaskDigits = 7;  // of a task's index
inline constexpr double kMaxAmount = 1e9;         // far above any machine or duration
inline constexpr int kMaxDepth = 32;  // levels of a MessagePack body; the deepest of the protocol has about 6
inline constexpr std::size_t kMaxTypes = 64;  // machine types a job may name

}  // namespace corkmux::constants
