#include "worker_orders.h"

#include "codec.h"
#include "constants.h"
#include "planted.h"

namespace corkmux {
namespace c = constants;
using Outcome = Cluster::OrdersOutcome;
namespace {

std::optional<Report> report_in(const std::string& body) {
  auto parsed = codec::unpack(body);
  return parsed ? codec::parse_report(*parsed) : std::nullopt;
}

Outcome outcome_of(int status, bool sent) {
  if (status == 200) return Outcome::Executed;
  if (status == 409) return Outcome::Refused;
  return sent ? Outcome::Unanswered : Outcome::Unsent;
}

}  // namespace

WorkerOrders::WorkerOrders(Loop& loop, const Settings& settings, Term& term, Cluster& book, TermHooks hooks,
                           OrderRelay relay)
    : Actor(loop),
      term_(term),
      book_(book),
      hooks_(std::move(hooks)),
      relay_(std::move(relay)),
      own_label_(settings.label),
      connections_(loop, static_cast<std::size_t>(settings.max_connections * c::kOrderConnectionShare)),
      // Names of orders say the term, so that an outcome of a former one finds nothing.
      next_id_(term.number << c::kTermShift) {}

void WorkerOrders::flush() {
  for (const auto& name : book_.with_orders()) send(name);
  post_batches();
}

void WorkerOrders::send(const std::string& name) {
  auto orders = std::make_shared<Orders>(book_.take_orders(name, steady_now()));
  auto body = codec::pack(codec::commands_to_wire(orders->token, orders->commands, orders->session));
  auto server = servers_.find(name);
  if (server != servers_.end() && relay_.reachable(server->second))
    return add_to_batch(server->second, name, std::move(*orders), std::move(body));
  send_directly(name, std::move(orders), std::move(body));
}

void WorkerOrders::send_directly(const std::string& name, std::shared_ptr<Orders> orders, std::string body) {
  ++in_flight_;
  connections_.to(name, book_.machine(name)->address)
      .request("POST", codec::kOrdersPath, std::move(body), c::kOrdersTimeout,
               term_.guard([this, name, orders](http::Result r) {
                 --in_flight_;
                 settle(name, *orders, outcome_of(r.status, r.sent), r.body);
               }));
}

void WorkerOrders::settle(const std::string& name, const Orders& orders, Outcome outcome,
                          const std::string& body) {
  double now = steady_now();
  book_.orders_done(name, orders, outcome, now);
  if (outcome == Outcome::Executed || outcome == Outcome::Refused)
    if (auto report = report_in(body)) book_.on_report(*report, Cluster::Channel::Orders, now);
  hooks_.changed();
}

// ---------------------------------------------------------------- through serving controllers

void WorkerOrders::served_by(const std::string& machine, const std::string& label) {
  if (label.empty())
    servers_.erase(machine);
  else
    servers_[machine] = label;
}

void WorkerOrders::add_to_batch(const std::string& server, const std::string& name, Orders orders,
                                std::string body) {
  auto id = ++next_id_;
  batches_[server].push_back({id, name, book_.machine(name)->address, std::move(body)});
  double deadline = steady_now() + c::kOrdersTimeout + c::kRelayedOrdersSlack;
  relayed_.emplace(id, Relayed{name, server, std::move(orders), deadline});
}

void WorkerOrders::post_batches() {
  for (auto& [server, all] : std::exchange(batches_, {})) {
    std::vector<serving::ForwardedOrders> message;
    std::size_t bytes = 0;
    for (auto& orders : all) {
      auto size = serving::size_of(orders);
      if (bytes + size > c::kBatchBytes && !message.empty()) {
        post(server, std::exchange(message, {}));
        bytes = 0;
      }
      bytes += size;
      message.push_back(std::move(orders));
    }
    post(server, message);
  }
}

void WorkerOrders::post(const std::string& server, const std::vector<serving::ForwardedOrders>& orders) {
  std::vector<std::uint64_t> ids;
  for (const auto& o : orders) ids.push_back(o.id);
  relay_.post(server, serving::pack(serving::OrderBatch{own_label_, orders}),
              term_.guard([this, ids](http::Result r) {
                // Taken: each outcome comes by itself. Not answered: so it may, or the time runs out.
                bool untaken = (r.status == 0 && !r.sent) || r.status >= 400;
                if (!untaken && !planted("an unanswered batch of orders counts as unsent")) return;
                if (r.ok()) return;
                for (auto id : ids) settle_relayed(id, Outcome::Unsent, "");
              }));
}

void WorkerOrders::outcome(const serving::OrderOutcome& o) {
  settle_relayed(o.id, outcome_of(o.status, o.sent), o.body);
}

/// Guards against an outcome that comes twice, late, or for a former term: its orders are settled already.
void WorkerOrders::settle_relayed(std::uint64_t id, Outcome outcome, const std::string& body) {
  auto entry = relayed_.extract(id);
  if (!entry) return;
  Relayed& relayed = entry.mapped();
  // Whoever did not get through is not tried again before the machine reports through it once more.
  if (outcome == Outcome::Unsent || outcome == Outcome::Unanswered) servers_.erase(relayed.machine);
  settle(relayed.machine, relayed.orders, outcome, body);
}

void WorkerOrders::inspect(const std::string& name) {
  connections_.to(name, book_.machine(name)->address)
      .request("GET", "/inspect", "", c::kOrdersTimeout, term_.guard([this](http::Result r) {
        if (!r.ok()) return;
        if (auto report = report_in(r.body)) book_.on_report(*report, Cluster::Channel::Orders, steady_now());
        hooks_.changed();
      }));
}

void WorkerOrders::forget_machines() {
  std::erase_if(servers_, [this](const auto& entry) { return !book_.machine(entry.first); });
}

void WorkerOrders::sweep() {
  connections_.close_idle();
  double now = steady_now();
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, relayed] : relayed_)
    if (relayed.deadline <= now) overdue.push_back(id);
  for (auto id : overdue) settle_relayed(id, Outcome::Unanswered, "");
}

}  // namespace corkmux
