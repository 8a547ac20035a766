#include "command_queue.h"

#include <utility>

namespace corkmux {
using Stage = ActiveTask::Stage;

namespace {

/// Whether an empty batch is sent to bring the worker its required token, if there is such a token.
bool lacks_required_token(const Machine& machine) {
  const std::uint64_t required = machine.worker.required_token;
  return required != kTokenNeverIssued && machine.worker.observed_token < required;
}

}  // namespace

bool CommandQueue::has_commands(const Machine& machine) const {
  if (machine.commands.dispatch_in_flight || !machine.is_up() || machine.address.empty()) return false;
  return machine.takes_commands_directly() &&
         (!machine.commands.outbox.empty() || machine.commands.needs_dispatch ||
          lacks_required_token(machine));
}

std::vector<std::string> CommandQueue::machines_with_commands() {
  std::vector<std::string> out;
  for (const std::string& name : state_.take_dispatch_candidates()) {
    const Machine* machine = state_.machine(name);
    if (machine && has_commands(*machine)) out.push_back(name);
  }
  return out;
}

bool CommandQueue::needs_stop(const ActiveTask& task) {
  return task.stop && (task.grace_s <= 0 || task.stage != Stage::Saving);
}

CommandBatch CommandQueue::take(const std::string& name, double now) {
  Machine& machine = state_.machines().at(name);
  machine.commands.dispatch_in_flight = true;
  machine.commands.needs_dispatch = false;
  CommandBatch out;
  out.fencing_token = machine.worker.fencing_token;
  out.worker_epoch = machine.worker.epoch;
  take_stops(machine, out);
  take_launches(machine, out, now);
  if (!out.launches.empty()) machine.worker.last_launch_token = machine.worker.fencing_token;
  return out;
}

void CommandQueue::take_stops(const Machine& machine, CommandBatch& out) const {
  for (const auto& [id, index] : machine.tasks) {
    const ActiveTask& task = state_.jobs().at(id).active.at(index);
    if (task.stage == Stage::Assigned || !needs_stop(task)) continue;
    out.more = out.commands.size() == constants::kMaxCommandsPerMessage;
    if (out.more) return;
    out.commands.push_back({TaskCommand::Op::Stop, id, index, task.attempt, task.grace_s});
  }
}

void CommandQueue::take_launches(Machine& machine, CommandBatch& out, double now) {
  const std::size_t most = constants::kMaxCommandsPerMessage - out.commands.size();
  for (const TaskId& id : machine.commands.outbox.take(most)) {
    Job* job = state_.job(id.job);
    ActiveTask* task = job ? job->find_active(id.index) : nullptr;
    if (!task) continue;
    if (task->worker_epoch != machine.worker.epoch || task->stop || machine.is_decommissioning()) {
      lifecycle_.withdraw(*job, id.index, now);
      continue;
    }
    task->stage = Stage::Sent;
    task->minimum_token = kTokenNeverIssued;
    machine.worker.last_launch_at = now;
    out.launches.push_back(id);
    out.attempts.push_back(task->attempt);
    out.commands.push_back({TaskCommand::Op::Start, id.job, id.index, task->attempt, 0});
  }
}

std::vector<TaskCommand> CommandQueue::take_launches_for_reply(Machine& machine, std::uint64_t seq,
                                                               std::size_t most, double now) {
  std::vector<TaskCommand> out;
  if (machine.takes_commands_directly() || machine.commands.dispatch_in_flight ||
      !state_.usable(machine, now))
    return out;
  for (const TaskId& id : machine.commands.outbox.take(most)) {
    Job* job = state_.job(id.job);
    ActiveTask* task = job ? job->find_active(id.index) : nullptr;
    if (!task) continue;
    if (task->worker_epoch != machine.worker.epoch || task->stop) {
      lifecycle_.unassign(*job, id.index, now);
      continue;
    }
    task->stage = Stage::Sent;
    task->minimum_token = 0;
    task->after_seq = seq;
    machine.worker.last_launch_at = now;
    out.push_back({TaskCommand::Op::Start, id.job, id.index, task->attempt, 0});
  }
  return out;
}

void CommandQueue::set_unreachable(Machine& machine, double now) {
  machine.commands.channel = CommandChannel::HeartbeatReplies;
  machine.commands.next_probe_at = now + 2 * state_.config().report_s;
}

void CommandQueue::done(const std::string& name, const CommandBatch& batch, DispatchOutcome outcome,
                        double now) {
  Machine* machine = state_.machine(name);
  if (!machine) return;
  machine->commands.dispatch_in_flight = false;
  state_.mark_for_dispatch(name);
  if (outcome == DispatchOutcome::Unanswered) {
    // The launch may still arrive minutes later. The worker rejects it only once it has observed a higher
    // token.
    state_.raise_fencing_token(*machine);
    state_.reindex(*machine, now);
  }
  if (outcome == DispatchOutcome::Unsent || outcome == DispatchOutcome::Unanswered) {
    set_unreachable(*machine, now);
    if (!batch.commands.empty()) machine->commands.needs_dispatch = true;
  } else {
    machine->commands.channel = CommandChannel::Direct;
    if (batch.more && outcome == DispatchOutcome::Executed) machine->commands.needs_dispatch = true;
  }
  for (std::size_t i = 0; i < batch.launches.size(); ++i)
    launch_done(batch.launches[i], batch.attempts[i], outcome, *machine, now);
}

void CommandQueue::launch_done(const TaskId& id, std::uint64_t attempt, DispatchOutcome outcome,
                               const Machine& machine, double now) {
  Job* job = state_.job(id.job);
  ActiveTask* task = job ? job->find_active(id.index) : nullptr;
  if (!task || task->attempt != attempt || task->stage != Stage::Sent) return;
  switch (outcome) {
    case DispatchOutcome::Executed:
      task->minimum_token = 0;
      break;
    case DispatchOutcome::Unanswered:
      task->minimum_token = machine.worker.required_token;
      break;
    case DispatchOutcome::Refused:
    case DispatchOutcome::Unsent:
      lifecycle_.withdraw(*job, id.index, now);
      break;
  }
}

}  // namespace corkmux
