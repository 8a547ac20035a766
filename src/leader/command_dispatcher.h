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

#include "fanin_messages.h"
#include "http.h"
#include "scheduler.h"
#include "settings.h"
#include "term.h"
#include "worker_connections.h"

namespace corkmux {

/// How orders reach the controllers that serve workers.
struct CommandRelay {
  /// Whether that controller has been heard lately.
  std::function<bool(const std::string& label)> reachable;
  std::function<void(const std::string& label, std::string body, std::function<void(http::Result)> done)>
      post;
};

class CommandDispatcher : public Actor<CommandDispatcher> {
 public:
  CommandDispatcher(Loop& loop, const Settings& settings, Term& term, Scheduler& scheduler,
                    TermCallbacks callbacks, CommandRelay relay);
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
  void outcome(const fanin::CommandOutcome& outcome);

 private:
  struct Relayed {
    std::string machine, server;
    CommandBatch command_batch;
    double deadline;  // s of the steady clock, after which they count as unanswered
  };
  void send(const std::string& name);
  void send_directly(const std::string& name, std::shared_ptr<CommandBatch> command_batch, std::string body);
  void add_to_batch(const std::string& server, const std::string& name, CommandBatch command_batch,
                    std::string body);
  void post_batches();
  void post(const std::string& server, const std::vector<fanin::ForwardedCommands>& command_batch);
  void settle(const std::string& name, const CommandBatch& command_batch, Scheduler::DispatchOutcome outcome,
              const std::string& body);
  void settle_relayed(std::uint64_t id, Scheduler::DispatchOutcome outcome, const std::string& body);
  Term& term_;
  Scheduler& scheduler_;
  TermCallbacks callbacks_;
  CommandRelay relay_;
  std::string own_label_;
  int in_flight_ = 0;
  fanin::WorkerConnections connections_;
  std::unordered_map<std::string, std::string> servers_;                  // by machine
  std::map<std::string, std::vector<fanin::ForwardedCommands>> batches_;  // by server, until they are posted
  std::map<std::uint64_t, Relayed> relayed_;
  std::uint64_t next_id_;
};

}  // namespace corkmux
