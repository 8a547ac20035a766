#include "heartbeat_delta_cache.h"

#include "codec.h"

namespace corkmux {

std::variant<Heartbeat, HeartbeatDeltaCache::Error> HeartbeatDeltaCache::remember(
    const fanin::FullHeartbeat& full) {
  auto parsed = codec::unpack(full.body);
  auto heartbeat = parsed ? codec::parse_heartbeat(*parsed) : std::nullopt;
  if (!heartbeat) return Error::Malformed;
  last_full_[heartbeat->machine] = *heartbeat;
  return std::move(*heartbeat);
}

std::variant<Heartbeat, HeartbeatDeltaCache::Error> HeartbeatDeltaCache::complete(
    const fanin::ForwardedHeartbeat& forwarded) {
  if (const auto* full = std::get_if<fanin::FullHeartbeat>(&forwarded.heartbeat)) return remember(*full);
  return apply(std::get<fanin::HeartbeatDelta>(forwarded.heartbeat));
}

std::variant<Heartbeat, HeartbeatDeltaCache::Error> HeartbeatDeltaCache::apply(
    const fanin::HeartbeatDelta& delta) const {
  auto last = last_full_.find(delta.machine);
  if (last == last_full_.end()) return Error::FullHeartbeatRequired;
  const Heartbeat& full = last->second;
  bool repeats =
      full.worker_epoch == delta.worker_epoch && full.seq == delta.base_seq && delta.seq > delta.base_seq;
  if (!repeats) return Error::FullHeartbeatRequired;
  Heartbeat heartbeat = full;
  heartbeat.seq = delta.seq;
  return heartbeat;
}

void HeartbeatDeltaCache::forget_unknown_machines(const Scheduler& scheduler) {
  std::erase_if(last_full_, [&](const auto& entry) { return !scheduler.machines().contains(entry.first); });
}

}  // namespace corkmux
