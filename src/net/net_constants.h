// Limits of the HTTP server and client.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- HTTP ---
inline constexpr std::size_t kMaxHeaderBytes = 16 * 1024;  // bytes; no caller of ours needs 2 KiB
inline constexpr std::size_t kMaxRequestBody = 64 * 1024;  // bytes; PROTOCOL's limit for requests
inline constexpr std::size_t kMaxResponseBody =
    8 * 1024 * 1024;                                  // bytes; a watch has no limit, our memory has
inline constexpr std::size_t kReadChunk = 16 * 1024;  // bytes read per wake-up
inline constexpr int kListenBacklog = 4096;    // connections; after all ended, workers and users at once
inline constexpr double kIdleConnection = 75;  // s; users poll each 5 s, workers report each few seconds

}  // namespace corkmux::constants
