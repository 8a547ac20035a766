// Collects the commands for each worker and applies the outcome of every batch that was sent.
//
// Owns no data: launches whose assignment is stored are in each machine's outbox, and stops are marked on the
// task. Depends on ClusterState and on TaskLifecycle, which withdraws launches that cannot be sent. It does
// not send anything itself; it alone decides which fencing token a command carries.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cluster_state.h"
#include "task_lifecycle.h"

namespace corkmux {

namespace constants {

/// Commands to one worker in one message. A message may have 64 KiB, of which a command takes 160 bytes at
/// most. More are needed only for a machine that a former version has given more tasks than
/// kMaxTasksOnMachine.
inline constexpr std::size_t kMaxCommandsPerMessage = 384;

}  // namespace constants

/// Commands that are sent to one worker in one request.
struct CommandBatch {
  std::uint64_t fencing_token = 0;
  std::uint64_t worker_epoch = 0;
  std::vector<TaskCommand> commands;
  std::vector<TaskId> launches;         // tasks that the batch starts
  std::vector<std::uint64_t> attempts;  // of each launch, in the same order
  bool more = false;                    // not all commands fitted: the others follow with the next batch
};

/// The outcome of sending a batch.
enum class DispatchOutcome {
  Executed,
  Refused,     // the worker rejected the batch: no command was executed
  Unsent,      // the worker was not reached: no command was executed
  Unanswered,  // any command may have been executed, or may still be
};

class CommandQueue {
 public:
  CommandQueue(ClusterState& state, TaskLifecycle& lifecycle) : state_(state), lifecycle_(lifecycle) {}

  bool has_commands(const Machine& machine) const;
  /// Machines that commands can be sent to now. Checks only machines marked for dispatch since the last call.
  std::vector<std::string> machines_with_commands();
  /// Takes the commands to send to the machine of that name. The caller has to call done() with the outcome.
  CommandBatch take(const std::string& name, double now);
  /// Applies the outcome of the batch; launches that were not executed are withdrawn.
  void done(const std::string& name, const CommandBatch& batch, DispatchOutcome outcome, double now);
  /// Takes at most `most` launches for an unreachable machine, to be sent with the reply to heartbeat `seq`.
  std::vector<TaskCommand> take_launches_for_reply(Machine& machine, std::uint64_t seq, std::size_t most,
                                                   double now);
  /// Stops direct sending to the machine until the next probe; until then launches go with heartbeat replies.
  void set_unreachable(Machine& machine, double now);
  /// Whether a stop has to be sent. A saving task has received one, and needs another only without grace
  /// time.
  static bool needs_stop(const ActiveTask& task);

 private:
  void take_stops(const Machine& machine, CommandBatch& out) const;
  void take_launches(Machine& machine, CommandBatch& out, double now);
  void launch_done(const TaskId& id, std::uint64_t attempt, DispatchOutcome outcome, const Machine& machine,
                   double now);

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
};

}  // namespace corkmux
