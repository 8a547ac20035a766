#include "order_delivery.h"

#include "constants.h"

namespace corkmux::serving {
namespace c = constants;

OrderDelivery::OrderDelivery(Loop& loop, std::size_t most_connections,
                             std::function<void(OrderOutcome)> outcome)
    : Actor(loop), connections_(loop, most_connections), outcome_(std::move(outcome)), idle_timer_(loop) {
  idle_timer_.every(c::kForwardSweep, [this] { connections_.close_idle(); });
}

bool OrderDelivery::deliver(const OrderBatch& batch) {
  if (in_flight_ + batch.orders.size() > c::kDeliveriesInFlight) return false;
  for (const auto& orders : batch.orders) {
    ++in_flight_;
    connections_.to(orders.machine, orders.address)
        .request("POST", codec::kOrdersPath, orders.body, c::kOrdersTimeout,
                 [this, id = orders.id](http::Result result) {
                   --in_flight_;
                   outcome_({id, result.status, result.sent, std::move(result.body)});
                 });
  }
  return true;
}

}  // namespace corkmux::serving
