// The serving side of orders: takes the leader's orders to workers over connections of its own and hands back
// what each worker said. It decides nothing and repeats nothing: what is not answered in time is the leader's
// to settle.
#pragma once
#include <functional>

#include "fanin_messages.h"
#include "worker_connections.h"

namespace corkmux::fanin {

class CommandDelivery : public Actor<CommandDelivery> {
 public:
  CommandDelivery(Loop& loop, std::size_t most_connections, std::function<void(CommandOutcome)> outcome);
  /// false: too much is on its way; nothing of the batch was or will be sent.
  bool deliver(const ForwardedCommandBatch& batch);

 private:
  WorkerConnections connections_;
  std::function<void(CommandOutcome)> outcome_;
  std::size_t in_flight_ = 0;
  Timer idle_timer_;
};

}  // namespace corkmux::fanin
