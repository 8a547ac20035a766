#include "heartbeat_delta_cache.h"

#include "codec.h"

namespace corkmux {

std::variant<Heartbeat, HeartbeatDeltaCache::Error> HeartbeatDeltaCache::remember(const std::string& body) {
  auto parsed = codec::unpack(body);
  auto heartbeat = parsed ? codec::parse_heartbeat(*parsed) : std::nullopt;
  if (!heartbeat) return Error::Malformed;
  last_full_[heartbeat->machine] = *heartbeat;
  return std::move(*heartbeat);
}

std::variant<Heartbeat, HeartbeatDeltaCache::Error> HeartbeatDeltaCache::complete(
    const fanin::ForwardedHeartbeat& forwarded) {
  if (!forwarded.body.empty()) return remember(forwarded.body);
  auto last = last_full_.find(forwarded.machine);
  if (last == last_full_.end()) return Error::FullHeartbeatRequired;
  const Heartbeat& full = last->second;
  bool repeats = full.worker_epoch == forwarded.worker_epoch && full.seq == forwarded.same_as &&
                 forwarded.number > forwarded.same_as;
  if (!repeats) return Error::FullHeartbeatRequired;
  Heartbeat heartbeat = full;
  heartbeat.seq = forwarded.number;
  return heartbeat;
}

void HeartbeatDeltaCache::forget_unknown_machines(const Scheduler& scheduler) {
  std::erase_if(last_full_, [&](const auto& known) { return !scheduler.machines().count(known.first); });
}

}  // namespace corkmux
