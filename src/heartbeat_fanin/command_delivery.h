// Delivers the leader's commands to workers on behalf of a fan-in member, over connections of its own, and
// reports each worker's reply. Owns those connections. Makes no decisions and retries nothing: commands that
// are not answered in time are left to the leader.
#pragma once
#include <cstddef>
#include <functional>

#include "fanin_messages.h"
#include "worker_connections.h"

namespace corkmux {

namespace constants {
inline constexpr std::size_t kMaxDeliveriesInFlight = 4000;  // commands in flight to workers
}  // namespace constants

namespace fanin {

class CommandDelivery : public Actor<CommandDelivery> {
 public:
  /// Gets the outcome of the commands to one worker; called once for each entry of a batch.
  using OutcomeCallback = std::function<void(CommandOutcome)>;
  CommandDelivery(Loop& loop, std::size_t max_connections, OutcomeCallback outcome);
  /// False: too many commands are in flight; no command of the batch was or will be sent.
  bool deliver(const ForwardedCommandBatch& batch);

 private:
  WorkerConnections connections_;
  OutcomeCallback outcome_;
  std::size_t in_flight_ = 0;
  Timer idle_timer_;
};

}  // namespace fanin
}  // namespace corkmux
