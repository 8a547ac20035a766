// Limits of the HTTP server and client.
#pragma once
#include <cstddef>

namespace corkmux::constants {

/// bytes; clients of the protocol need less than 2 KiB.
inline constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
inline constexpr std::size_t kMaxRequestBody = 64 * 1024;  // bytes; the protocol's limit for requests
inline constexpr std::size_t kMaxResponseBody =
    8 * 1024 * 1024;  // bytes; a watch response is unbounded, this process's memory is not
inline constexpr std::size_t kMaxChunkSizeLine = 64;  // bytes
inline constexpr std::size_t kReadChunk = 16 * 1024;  // bytes read per wake-up
inline constexpr int kListenBacklog = 4096;    // connections; all clients reconnect at once after an outage
inline constexpr int kAcceptsPerWakeup = 32;   // connections
inline constexpr double kIdleConnection = 75;  // s; far longer than the period of polls and heartbeats

}  // namespace corkmux::constants
