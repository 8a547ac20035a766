// Commands for workers: which machines need some, taking them, and what follows from their fate.
//
// It owns nothing: launches whose assignment is stored stand in each machine's outbox, stops with the task.
// It needs the cluster's state and TaskLifecycle, which takes back what cannot be sent. It never sends
// anything itself, and it alone says under which fencing token a command goes.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cluster_state.h"
#include "task_lifecycle.h"

namespace corkmux {

/// Commands that go to one worker together.
struct CommandBatch {
  std::uint64_t fencing_token = 0;
  std::uint64_t worker_epoch = 0;
  std::vector<TaskCommand> commands;
  std::vector<TaskId> launches;         // those among the commands that start tasks
  std::vector<std::uint64_t> attempts;  // of each launch
};

/// What became of a batch that was sent.
enum class DispatchOutcome {
  Executed,
  Refused,     // the worker said so: nothing was done
  Unsent,      // it was not reached: nothing was done
  Unanswered,  // anything may have been done, or may yet be
};

class CommandQueue {
 public:
  CommandQueue(ClusterState& state, TaskLifecycle& lifecycle) : state_(state), lifecycle_(lifecycle) {}

  bool has_commands(const Machine& machine) const;
  /// Machines that commands can be sent to now; only those that something has changed for are looked at.
  std::vector<std::string> machines_with_commands();
  /// What is to be sent to the machine of that name; done() has to follow.
  CommandBatch take(const std::string& name, double now);
  /// What became of the batch: launches that were not carried out are withdrawn.
  void done(const std::string& name, const CommandBatch& batch, DispatchOutcome outcome, double now);
  /// Launches for a machine that cannot be reached, to go with the answer to that heartbeat.
  std::vector<TaskCommand> take_for_answer(Machine& machine, std::uint64_t seq, double now);
  /// Commands cannot be sent to the machine for a while: launches go with answers.
  void set_unreachable(Machine& machine, double now);
  /// Whether the task's stop has to be sent: one that saves has been told already.
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
