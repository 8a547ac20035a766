// Sends the scheduler's commands to workers and asks single workers for a heartbeat.
//
// Commands to a worker whose heartbeats another controller forwards go through that controller, many in one
// message; others go directly. Owns the requests in flight and which controller forwards for which machine.
// What an unanswered command means is the scheduler's to decide, and it is the same for both ways: a command
// that was not answered may still be executed. An actor of one term.
#pragma once
#include <cstdint>
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

/// How commands reach the controllers that workers are connected to.
struct CommandRelay {
  using PostCallback = std::function<void(http::Result)>;
  /// Whether that controller has been heard lately.
  std::function<bool(const std::string& label)> reachable;
  /// Posts a batch of commands to that controller.
  std::function<void(const std::string& label, std::string body, PostCallback done)> post;
};

class CommandDispatcher : public Actor<CommandDispatcher> {
 public:
  CommandDispatcher(Loop& loop, const Settings& settings, Term& term, Scheduler& scheduler,
                    TermCallbacks callbacks, CommandRelay relay);

  /// Sends whatever the scheduler has for machines that can be sent to now.
  void flush();
  /// Asks a worker for its heartbeat.
  void inspect(const std::string& machine);
  /// Closes idle connections and settles what other controllers have not answered in time.
  void sweep();
  /// Forgets which controller forwards for machines that are gone.
  void forget_unknown_machines();
  /// Whether nothing is unanswered.
  bool idle() const { return in_flight_ == 0 && relayed_.empty(); }
  /// The controller that last forwarded a heartbeat of the machine; empty: it came directly.
  void served_by(const std::string& machine, const std::string& label);
  /// What became of commands that went through another controller. Each outcome is taken once.
  void outcome(const fanin::CommandOutcome& outcome);

 private:
  /// Commands that went through another controller and are not settled yet.
  struct Relayed {
    std::string machine;
    std::string server;
    CommandBatch commands;
    double deadline;  // s of the steady clock, after which they count as unanswered
  };
  static constexpr double kRelayedOutcomeSlack =
      1;  // s beyond kCommandTimeout until an outcome counts as missing

  void send(const std::string& machine);
  void send_directly(const std::string& machine, CommandBatch commands, std::string body);
  void add_to_batch(const std::string& server, const std::string& machine, CommandBatch commands,
                    std::string body);
  void post_batches();
  void post_in_messages(const std::string& server, std::vector<fanin::ForwardedCommands> commands);
  void post(const std::string& server, const std::vector<fanin::ForwardedCommands>& commands);
  void settle(const std::string& machine, const CommandBatch& commands, Scheduler::DispatchOutcome outcome,
              const std::string& body);
  void settle_relayed(std::uint64_t id, Scheduler::DispatchOutcome outcome, const std::string& body);

  Term& term_;
  Scheduler& scheduler_;
  TermCallbacks callbacks_;
  CommandRelay relay_;
  std::string own_label_;
  int in_flight_ = 0;  // direct requests
  fanin::WorkerConnections connections_;
  std::unordered_map<std::string, std::string> servers_;                  // by machine
  std::map<std::string, std::vector<fanin::ForwardedCommands>> batches_;  // by server, until they are posted
  std::map<std::uint64_t, Relayed> relayed_;                              // by id
  std::uint64_t last_id_;
};

}  // namespace corkmux
