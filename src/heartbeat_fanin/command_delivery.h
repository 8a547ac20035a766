// A fan-in member's side of commands: takes the leader's commands to workers over connections of its own and
// hands back what each worker said. Owns those connections. Decides nothing and repeats nothing: what is not
// answered in time is the leader's to settle.
#pragma once
#include <cstddef>
#include <functional>

#include "fanin_messages.h"
#include "worker_connections.h"

namespace corkmux {

namespace constants {
inline constexpr std::size_t kDeliveriesInFlight = 4000;  // commands on their way to workers
}  // namespace constants

namespace fanin {

class CommandDelivery : public Actor<CommandDelivery> {
 public:
  /// What became of the commands to one worker; called once for each.
  using OutcomeCallback = std::function<void(CommandOutcome)>;
  CommandDelivery(Loop& loop, std::size_t most_connections, OutcomeCallback outcome);
  /// false: too much is on its way; nothing of the batch was or will be sent.
  bool deliver(const ForwardedCommandBatch& batch);

 private:
  WorkerConnections connections_;
  OutcomeCallback outcome_;
  std::size_t in_flight_ = 0;
  Timer idle_timer_;
};

}  // namespace fanin
}  // namespace corkmux
