// Sends the scheduler's commands to workers and requests heartbeats of single workers.
//
// Commands to a worker whose heartbeats another controller forwards go through that controller, many in one
// message; other commands are sent to the worker directly. Owns the requests in flight and the map from
// machines to forwarding controllers. The scheduler decides how an unanswered command is handled, in the same
// way for both routes: an unanswered command may still be executed. An actor of one term.
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

namespace constants {
/// Share of a controller's sockets that may be idle connections for commands.
inline constexpr double kCommandConnectionShare = 0.25;
}  // namespace constants

/// Functions that send commands to the controllers that workers are connected to.
struct CommandRelay {
  using PostCallback = std::function<void(http::Result)>;
  /// Whether that controller has answered recently.
  std::function<bool(const std::string& label)> reachable;
  /// Posts a batch of commands to that controller.
  std::function<void(const std::string& label, std::string body, PostCallback done)> post;
};

class CommandDispatcher : public Actor<CommandDispatcher> {
 public:
  CommandDispatcher(Loop& loop, const Settings& settings, Term& term, Scheduler& scheduler,
                    TermCallbacks callbacks, CommandRelay relay);

  /// Sends the scheduler's pending commands to all machines that can take commands now.
  void flush();
  /// Requests a worker's heartbeat.
  void inspect(const std::string& machine);
  /// Closes idle connections, and settles commands whose outcome another controller has not reported in time.
  void sweep();
  /// Removes the forwarding entries of machines that no longer exist.
  void forget_unknown_machines();
  /// Whether no command is unanswered.
  bool idle() const { return in_flight_ == 0 && relayed_.empty(); }
  /// Stores which controller last forwarded a heartbeat of the machine; empty: the heartbeat came directly.
  void set_forwarder(const std::string& machine, const std::string& label);
  /// Takes the outcome of commands that went through another controller. Each outcome counts once.
  void outcome(const fanin::CommandOutcome& outcome);

 private:
  /// Commands that went through another controller and are not settled yet.
  struct RelayedCommands {
    std::string machine;
    std::string forwarder;
    CommandBatch commands;
    double deadline;  // s of the steady clock; after it the commands count as unanswered
  };
  static constexpr double kRelayedOutcomeSlack =
      1;  // s beyond kCommandTimeout until an outcome counts as missing

  void send(const std::string& machine);
  void send_directly(const std::string& machine, CommandBatch commands, std::string body);
  void add_to_batch(const std::string& forwarder, const std::string& machine, CommandBatch commands,
                    std::string body);
  void post_batches();
  void post_in_messages(const std::string& forwarder, std::vector<fanin::ForwardedCommands> commands);
  void post(const std::string& forwarder, const std::vector<fanin::ForwardedCommands>& commands);
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
  std::unordered_map<std::string, std::string> forwarders_;               // by machine
  std::map<std::string, std::vector<fanin::ForwardedCommands>> batches_;  // by forwarder; unposted
  std::map<std::uint64_t, RelayedCommands> relayed_;                      // by id
  /// Bits of an id for the batches of one term. The term's own upper bits drop out: ids have to differ from
  /// those of recent terms only, as outcomes are reported within seconds.
  static constexpr int kCommandIdTermShift = 40;
  std::uint64_t last_id_;
};

}  // namespace corkmux
