// Stores the last full heartbeat of each machine whose worker is connected to another controller, so that an
// unchanged heartbeat can be forwarded as its sequence number alone.
//
// Owns these heartbeats for one term; it does not call the scheduler with them. Used on the leader's actor
// only.
#pragma once
#include <string>
#include <unordered_map>
#include <variant>

#include "fanin_messages.h"
#include "model.h"
#include "scheduler.h"

namespace corkmux {

class HeartbeatDeltaCache {
 public:
  /// Why a forwarded heartbeat cannot be completed.
  enum class Error {
    Malformed,             // its body is not a heartbeat
    FullHeartbeatRequired  // the heartbeat that it refers to is not in the cache
  };

  /// Returns the complete heartbeat for a forwarded one; a full heartbeat is stored.
  std::variant<Heartbeat, Error> complete(const fanin::ForwardedHeartbeat& forwarded);
  /// Removes the heartbeats of machines that the scheduler no longer has.
  void forget_unknown_machines(const Scheduler& scheduler);

 private:
  std::variant<Heartbeat, Error> remember(const fanin::FullHeartbeat& full);
  std::variant<Heartbeat, Error> apply(const fanin::HeartbeatDelta& delta) const;

  std::unordered_map<std::string, Heartbeat> last_full_;  // by machine
};

}  // namespace corkmux
