#include "parked_heartbeats.h"

#include <algorithm>

namespace corkmux {

ParkedHeartbeats::ParkedHeartbeats(const Settings& settings)
    : capacity_(std::max(
          static_cast<std::size_t>(settings.max_connections),
          static_cast<std::size_t>(settings.mem_mb * 1024 * 1024 * kMemoryShare / kBytesPerHeartbeat))) {}

}  // namespace corkmux
