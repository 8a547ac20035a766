// Limits of what is parsed.
#pragma once
#include <cstddef>

namespace corkmux::constants {

inline constexpr int kMaxTasks = 100000;          // of a job; PROTOCOL
inline constexpr std::size_t kMaxText = 200;      // bytes of any name we accept; a state key's limit
inline constexpr std::size_t kMaxJobId = 64;      // bytes
inline constexpr std::size_t kMaxAddress = 64;    // bytes
inline constexpr std::size_t kMaxTaskDigits = 7;  // of a task's index
inline constexpr double kMaxAmount = 1e9;         // far above any machine or duration
inline constexpr int kMaxDepth = 32;          // levels of a MessagePack body; PROTOCOL's deepest has about 6
inline constexpr std::size_t kMaxTypes = 64;  // machine types a job may name

}  // namespace corkmux::constants
