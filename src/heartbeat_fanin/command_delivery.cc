#include "command_delivery.h"

#include "heartbeat_fanin_constants.h"

namespace corkmux::fanin {

CommandDelivery::CommandDelivery(Loop& loop, std::size_t max_connections, OutcomeCallback outcome)
    : Actor(loop), connections_(loop, max_connections), outcome_(std::move(outcome)), idle_timer_(loop) {
  idle_timer_.every(constants::kConnectionSweepInterval, [this] { connections_.close_idle(); });
}

bool CommandDelivery::deliver(const ForwardedCommandBatch& batch) {
  if (in_flight_ + batch.commands.size() > constants::kMaxDeliveriesInFlight) return false;
  for (const auto& commands : batch.commands) {
    ++in_flight_;
    connections_.to(commands.machine, commands.address)
        .request("POST", codec::kCommandsPath, commands.body, constants::kCommandTimeout,
                 [this, id = commands.id](http::Result result) {
                   --in_flight_;
                   outcome_({id, WorkerReply::from_http(std::move(result))});
                 });
  }
  return true;
}

}  // namespace corkmux::fanin
