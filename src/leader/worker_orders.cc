#include "worker_orders.h"

#include "codec.h"
#include "constants.h"

namespace corkmux {
namespace c = constants;
namespace {

std::optional<Report> report_in(const std::string& body) {
  auto parsed = codec::unpack(body);
  return parsed ? codec::parse_report(*parsed) : std::nullopt;
}

}  // namespace

WorkerOrders::WorkerOrders(Loop& loop, Term& term, Cluster& book, TermHooks hooks)
    : Actor(loop), term_(term), book_(book), hooks_(std::move(hooks)) {}

http::Client& WorkerOrders::worker(const Machine& m) {
  auto& client = workers_[m.name];
  if (!client || client->address() != m.address)
    client = std::make_unique<http::Client>(loop_, m.address, 1, 4);
  return *client;
}

void WorkerOrders::flush() {
  for (const auto& name : book_.with_orders()) send(name);
}

void WorkerOrders::send(const std::string& name) {
  auto orders = std::make_shared<Orders>(book_.take_orders(name, steady_now()));
  const Machine& m = *book_.machine(name);
  auto body = codec::pack(codec::commands_to_wire(orders->token, orders->commands, orders->session));
  ++in_flight_;
  worker(m).request("POST", codec::kOrdersPath, std::move(body), c::kOrdersTimeout,
                    term_.guard([this, name, orders](http::Result r) {
                      --in_flight_;
                      double now = steady_now();
                      using Outcome = Cluster::OrdersOutcome;
                      auto outcome = r.status == 200   ? Outcome::Executed
                                     : r.status == 409 ? Outcome::Refused
                                     : !r.sent         ? Outcome::Unsent
                                                       : Outcome::Unanswered;
                      book_.orders_done(name, *orders, outcome, now);
                      if (r.status == 200 || r.status == 409)
                        if (auto report = report_in(r.body))
                          book_.on_report(*report, Cluster::Channel::Orders, now);
                      hooks_.changed();
                    }));
}

void WorkerOrders::inspect(const std::string& name) {
  worker(*book_.machine(name))
      .request("GET", "/inspect", "", c::kOrdersTimeout, term_.guard([this](http::Result r) {
        if (!r.ok()) return;
        if (auto report = report_in(r.body)) book_.on_report(*report, Cluster::Channel::Orders, steady_now());
        hooks_.changed();
      }));
}

void WorkerOrders::sweep() {
  for (auto it = workers_.begin(); it != workers_.end();)
    it = book_.machine(it->first) || it->second->busy() ? std::next(it) : workers_.erase(it);
}

}  // namespace corkmux
