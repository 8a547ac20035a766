// Limits of what is parsed.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- memory bounds ---
inline constexpr int kMaxTasks = 100000;      // PROTOCOL
inline constexpr std::size_t kMaxText = 200;  // bytes of any name we accept; a state key's limit
inline constexpr int kMaxDepth = 32;          // levels of a MessagePack body; PROTOCOL's deepest has about 6
inline constexpr std::size_t kMaxTypes = 64;  // machine types a job may name

}  // namespace corkmux::constants
