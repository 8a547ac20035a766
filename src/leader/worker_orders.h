// Sends the book's orders to workers and asks single workers for their reports.
//
// Orders to a worker that a serving controller has reported for go through that controller, many in one
// message; others go directly. What an unanswered order means is the book's to say, and it is the same for
// both ways: an order that was not answered may still be executed.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "batches.h"
#include "cluster.h"
#include "http.h"
#include "settings.h"
#include "term.h"
#include "worker_connections.h"

namespace corkmux {

/// How orders reach the controllers that serve workers.
struct OrderRelay {
  /// Whether that controller has been heard lately.
  std::function<bool(const std::string& label)> reachable;
  std::function<void(const std::string& label, std::string body, std::function<void(http::Result)> done)>
      post;
};

class WorkerOrders : public Actor<WorkerOrders> {
 public:
  WorkerOrders(Loop& loop, const Settings& settings, Term& term, Cluster& book, TermHooks hooks,
               OrderRelay relay);
  /// Sends whatever the book has for machines that can be sent to now.
  void flush();
  /// Asks a worker for its report.
  void inspect(const std::string& machine);
  /// Forgets connections that idle and settles what serving controllers have not answered in time.
  void sweep();
  /// Forgets who served machines that are gone.
  void forget_machines();
  bool idle() const { return in_flight_ == 0 && relayed_.empty(); }
  /// The controller that last reported for the machine; empty: it reported itself.
  void served_by(const std::string& machine, const std::string& label);
  /// What became of orders that went through a serving controller. Each is taken once.
  void outcome(const serving::OrderOutcome& outcome);

 private:
  struct Relayed {
    std::string machine, server;
    Orders orders;
    double deadline;  // s of the steady clock, after which they count as unanswered
  };
  void send(const std::string& name);
  void send_directly(const std::string& name, std::shared_ptr<Orders> orders, std::string body);
  void add_to_batch(const std::string& server, const std::string& name, Orders orders, std::string body);
  void post_batches();
  void post(const std::string& server, const std::vector<serving::ForwardedOrders>& orders);
  void settle(const std::string& name, const Orders& orders, Cluster::OrdersOutcome outcome,
              const std::string& body);
  void settle_relayed(std::uint64_t id, Cluster::OrdersOutcome outcome, const std::string& body);
  Term& term_;
  Cluster& book_;
  TermHooks hooks_;
  OrderRelay relay_;
  std::string own_label_;
  int in_flight_ = 0;
  serving::WorkerConnections connections_;
  std::unordered_map<std::string, std::string> servers_;                  // by machine
  std::map<std::string, std::vector<serving::ForwardedOrders>> batches_;  // by server, until they are posted
  std::map<std::uint64_t, Relayed> relayed_;
  std::uint64_t next_id_;
};

}  // namespace corkmux
