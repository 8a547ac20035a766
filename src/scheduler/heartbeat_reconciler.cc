#include "heartbeat_reconciler.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cancel_deadline.h"
#include "mutation.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

namespace {

constexpr double kMinSlopeInterval = 0.05;  // s; no slope is computed over shorter heartbeat intervals

Stage stage_of(TaskState state) {
  switch (state) {
    case TaskState::Fetching:
      return Stage::Fetching;
    case TaskState::Waiting:
      return Stage::Waiting;
    case TaskState::Running:
      return Stage::Running;
    default:
      return Stage::Saving;
  }
}

/// Whether a mutation gives workers tokens that are not theirs. The leader would recover from that, so that
/// no simulation would find the mutation.
bool mutation_gives_tokens_of_others() {
  return mutation_enabled("a term is used twice") || mutation_enabled("answers of a batch are swapped");
}

/// How a heartbeat relates to the latest one that is known of its machine.
enum class HeartbeatAge { Newer, Older, OfRestartedMachine };

/// While a machine runs, the epoch and sequence of its heartbeats rise with time, and the token that it shows
/// never falls. So a heartbeat with a lower token is older, or of another incarnation of the machine that has
/// not been answered by this leader; one that is older by its sequence and has a higher token is of a later
/// incarnation.
HeartbeatAge age_of(const Heartbeat& heartbeat, const WorkerConnection& known) {
  if (heartbeat.fencing_token < known.observed_token) return HeartbeatAge::Older;
  if (std::tie(heartbeat.worker_epoch, heartbeat.seq) > std::tie(known.epoch, known.seq))
    return HeartbeatAge::Newer;
  return heartbeat.fencing_token > known.observed_token ? HeartbeatAge::OfRestartedMachine
                                                        : HeartbeatAge::Older;
}

TaskCommand command(TaskCommand::Op op, const TaskStatus& status, double grace_s = 0) {
  return {op, status.job, status.index, status.attempt, grace_s};
}

}  // namespace

HeartbeatResult HeartbeatReconciler::reconcile(const Heartbeat& heartbeat, HeartbeatChannel channel,
                                               double now) {
  // A delayed heartbeat of a returned machine must not add the machine again.
  if (machines_.was_returned(heartbeat.machine)) return {};
  HeartbeatResult refusal;
  refusal.superseded = carries_foreign_token(heartbeat);
  if (refusal.superseded) {
    state_.sequence().note_foreign(heartbeat.fencing_token);
    return refusal;
  }
  Machine& machine = find_or_add_machine(heartbeat, now);
  if (!is_current(heartbeat, machine, now)) {
    refusal.fencing_token = machine.worker.fencing_token;
    return refusal;
  }
  if (!heartbeat.address.empty()) state_.set_address(machine, heartbeat.address);
  if (heartbeat.worker_epoch > machine.worker.epoch) begin_epoch(heartbeat, machine, now);
  if (state_.silent(machine, now)) state_.request_cycle();
  machine.worker.seq = heartbeat.seq;
  machine.worker.last_heartbeat_at = now;
  observe_token(heartbeat, machine, now);
  record_spot_notice(heartbeat, machine, now);

  Reconciliation pass{heartbeat, channel, now, machine, {}, {}, {}};
  for (const TaskStatus& status : heartbeat.tasks) apply_status(pass, status);
  acknowledge_ended_tasks(pass);
  mark_absent_tasks_lost(pass);
  count_other_tasks(pass);
  update_load(machine, now);
  attach_launches(pass);
  state_.reindex(machine, now);
  if (machine.reclaim_at) machines_.drain(machine, now);
  pass.result.fencing_token = machine.worker.fencing_token;
  return std::move(pass.result);
}

// Another leader's token proves nothing about this leader's launches. Before its first heartbeat a worker
// cannot have a token of this term, and later none above all issued ones.
bool HeartbeatReconciler::carries_foreign_token(const Heartbeat& heartbeat) const {
  const SequenceNumbers& sequence = state_.sequence();
  const Machine* machine = std::as_const(state_).machine(heartbeat.machine);
  const bool never_heard = machine && !machine->is_up() && !mutation_enabled("a term is used twice");
  return never_heard ? heartbeat.fencing_token > sequence.base()
                     : sequence.is_foreign(heartbeat.fencing_token);
}

Machine& HeartbeatReconciler::find_or_add_machine(const Heartbeat& heartbeat, double now) {
  auto [machine, added] = state_.add_machine(heartbeat.machine, now);
  // Commands to a machine that had this address before may still arrive here: their tokens are lower than one
  // that is given now, not than one that was given when the machine was requested.
  if (!added && !machine.is_up() && !mutation_gives_tokens_of_others()) state_.raise_fencing_token(machine);
  if (!machine.is_up() || machine.type.empty()) register_worker(heartbeat, machine, now);
  state_.mark_for_dispatch(machine.name);
  return machine;
}

void HeartbeatReconciler::register_worker(const Heartbeat& heartbeat, Machine& machine, double now) {
  state_.remove_from_index(machine);
  machine.state = MachineState::Up;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  if (const MachineType* type = state_.type(heartbeat.type)) machine.size = type->size;
  Resources used;
  for (const TaskId& id : machine.tasks) used += state_.jobs().at(id.job).spec.need;
  machine.free = machine.size;
  machine.free -= used;
  machine.idle_since = now;
  state_.request_cycle();
}

// Late and reordered heartbeats do not describe the machine's present state.
bool HeartbeatReconciler::is_current(const Heartbeat& heartbeat, Machine& machine, double now) {
  switch (age_of(heartbeat, machine.worker)) {
    case HeartbeatAge::Newer:
      return true;
    case HeartbeatAge::Older:
      suspect_restart(heartbeat, machine, now);
      return false;
    case HeartbeatAge::OfRestartedMachine:
      break;
  }
  if (!refuses_former_launches(heartbeat, machine)) return false;
  begin_incarnation(heartbeat, machine);
  return true;
}

// A copy of a launch that the machine's former incarnation has executed must not start the task a second
// time: the restarted worker has no attempts, and its first epoch has the same number. So its heartbeats
// count only once it shows a token above those of all launches to this machine.
bool HeartbeatReconciler::refuses_former_launches(const Heartbeat& heartbeat, Machine& machine) {
  if (heartbeat.fencing_token > machine.worker.last_launch_token) return true;
  if (machine.worker.fencing_token <= heartbeat.fencing_token) state_.raise_fencing_token(machine);
  return false;
}

// An old heartbeat that arrives late looks like one of a restarted machine, which counts epochs and
// heartbeats from the beginning again. The answer to it carries a token that the machine has not shown: a
// restarted machine shows it next, and the late one's answer reaches nobody.
void HeartbeatReconciler::suspect_restart(const Heartbeat& heartbeat, Machine& machine, double now) {
  const double heard_s = c::kRestartSuspectedAfterHeartbeats * state_.config().report_s;
  const bool heard_recently = now - machine.worker.last_heartbeat_at < heard_s;
  const bool of_this_term = heartbeat.fencing_token > state_.sequence().base();
  if (of_this_term && heard_recently) return;
  if (machine.worker.fencing_token > machine.worker.observed_token) return;
  if (const std::optional<std::uint64_t> token = state_.sequence().next())
    machine.worker.fencing_token = *token;
}

void HeartbeatReconciler::begin_incarnation(const Heartbeat& heartbeat, Machine& machine) {
  state_.note("machine " + machine.name + " has restarted: its worker begins at epoch " +
              std::to_string(heartbeat.worker_epoch));
  state_.clear_images(machine);
  machine.worker.epoch = heartbeat.worker_epoch;
  machine.worker.seq = 0;
  // Launches in replies to the former incarnation's heartbeats can no longer arrive.
  for (const auto& [id, index] : machine.tasks) state_.jobs().at(id).active.at(index).after_seq = 0;
}

void HeartbeatReconciler::begin_epoch(const Heartbeat& heartbeat, Machine& machine, double now) {
  const std::uint64_t epoch = heartbeat.worker_epoch;
  if (machine.worker.epoch)
    state_.note("machine " + machine.name + " began worker epoch " + std::to_string(epoch));
  // A heartbeat without a token of this term may be of a former incarnation of the machine, whose epochs say
  // nothing of what runs there now.
  if (heartbeat.fencing_token > state_.sequence().base())
    lifecycle_.mark_all_lost(machine, "lost its lease", now, epoch);
  state_.clear_images(machine);
  machine.worker.epoch = epoch;
  machine.worker.seq = 0;
}

void HeartbeatReconciler::observe_token(const Heartbeat& heartbeat, Machine& machine, double now) {
  // The worker has obeyed a command that was meant for another machine, at whose former address it is now: it
  // drops all answers with lower tokens.
  if (heartbeat.fencing_token > machine.worker.fencing_token && !mutation_gives_tokens_of_others())
    state_.raise_fencing_token(machine);
  const std::uint64_t base = state_.sequence().base();
  const bool newly_of_this_term = machine.worker.observed_token <= base && heartbeat.fencing_token > base;
  machine.worker.observed_token = std::max(machine.worker.observed_token, heartbeat.fencing_token);
  if (!newly_of_this_term) return;
  machine.worker.term_token_observed_at = now;
  state_.request_cycle();
}

void HeartbeatReconciler::record_spot_notice(const Heartbeat& heartbeat, Machine& machine, double now) {
  if (!heartbeat.notice_s || machine.reclaim_at) return;
  const double notice_s = *heartbeat.notice_s;
  machine.reclaim_at = now + notice_s;
  state_.note("machine " + machine.name + " is reclaimed by the cloud in " +
              std::to_string(static_cast<int>(notice_s)) + " s: drained");
}

void HeartbeatReconciler::apply_status(Reconciliation& pass, const TaskStatus& status) {
  Machine& machine = pass.machine;
  Job* job = state_.job(status.job);
  ActiveTask* task = job ? job->find_active(status.index) : nullptr;
  const bool assigned = task && task->machine == machine.name && task->attempt == status.attempt;
  if (status.state == TaskState::Exited) {
    apply_exit(pass, status, job, assigned);
    return;
  }
  if (!assigned) {
    // No stored assignment allows this attempt to run: it was cancelled, finished or superseded.
    add_command(pass, command(TaskCommand::Op::Stop, status));
    return;
  }
  pass.present.insert({status.job, status.index});
  check_cancel_deadline(pass, *job);
  const Stage before = task->stage;
  task->stage = stage_of(status.state);
  if (task->stage == Stage::Running && !task->running_at) task->running_at = pass.now;
  task->worker_epoch = pass.heartbeat.worker_epoch;
  task->minimum_token = 0;
  task->after_seq = 0;
  if (task->stage == Stage::Waiting || task->stage == Stage::Running) state_.record_image(machine, job->spec);
  if (before != task->stage) state_.mark_changed(status.job);
  if (CommandQueue::needs_stop(*task))
    add_command(pass, command(TaskCommand::Op::Stop, status, task->grace_s));
}

// What does not fit into the reply is left out: the next heartbeat reports the task again.
void HeartbeatReconciler::add_command(Reconciliation& pass, const TaskCommand& command) {
  if (pass.result.commands.size() < c::kMaxCommandsPerMessage) pass.result.commands.push_back(command);
}

// The worker is told to stop the task in any case; the line says that a rule of the protocol is violated.
void HeartbeatReconciler::check_cancel_deadline(const Reconciliation& pass, Job& job) {
  if (job.cancel_overdue_logged || !is_cancel_overdue(job, state_.config().cancel_s, pass.now)) return;
  job.cancel_overdue_logged = true;
  const int age_s = static_cast<int>(pass.now - *job.cancelled_at);
  state_.note("violation of cancel_s: machine " + pass.machine.name + " reports a task of job " +
              job.spec.id + ", cancelled_age_s=" + std::to_string(age_s));
}

void HeartbeatReconciler::apply_exit(Reconciliation& pass, const TaskStatus& status, Job* job,
                                     bool assigned) {
  if (assigned) {
    pass.present.insert({status.job, status.index});
    lifecycle_.task_exited(*job, status, pass.machine, pass.now);
  }
  if (!worker_must_keep_exit(status, job)) pass.ended.push_back(command(TaskCommand::Op::Forget, status));
}

// The worker keeps a `done` exit until the task's record is stored; it may forget any other exit at once.
bool HeartbeatReconciler::worker_must_keep_exit(const TaskStatus& status, Job* job) {
  return status.why == ExitReason::Done && job && !job->cancelled && status.index < job->spec.tasks &&
         job->phase[static_cast<std::size_t>(status.index)] == TaskPhase::Done &&
         !records_.is_persisted(*job, status.index);
}

// A late copy of an executed command batch must not start an attempt again that the worker has forgotten. The
// Forget commands therefore carry a token above that of all launches and are held back while a batch is in
// flight; until then the worker still holds the attempt and ignores the copy.
void HeartbeatReconciler::acknowledge_ended_tasks(Reconciliation& pass) {
  Machine& machine = pass.machine;
  if (pass.channel != HeartbeatChannel::Heartbeat || pass.ended.empty() ||
      machine.commands.dispatch_in_flight)
    return;
  if (machine.worker.last_launch_token == machine.worker.fencing_token &&
      !mutation_enabled("forgotten attempts can be launched again")) {
    const std::optional<std::uint64_t> token = state_.sequence().next();
    if (!token) return;
    machine.worker.fencing_token = *token;
  }
  for (const TaskCommand& forget : pass.ended) add_command(pass, forget);
}

// A task that a heartbeat does not report is absent only if no launch of it by this leader can still arrive.
// A launch with an unknown outcome raised the machine's token, so the heartbeat has to carry that token; a
// launch in the reply to a heartbeat is settled by the worker's next heartbeat.
bool HeartbeatReconciler::confirms_absence(const Reconciliation& pass, const ActiveTask& task) {
  if (task.stage == Stage::Assigned) return false;
  if (pass.heartbeat.fencing_token < task.minimum_token) return false;
  if (!task.after_seq) return true;
  return pass.channel == HeartbeatChannel::Heartbeat && pass.heartbeat.seq > task.after_seq;
}

void HeartbeatReconciler::mark_absent_tasks_lost(Reconciliation& pass) {
  std::vector<TaskId> absent;
  for (const TaskId& id : pass.machine.tasks)
    if (!pass.present.contains(id)) absent.push_back(id);
  for (const TaskId& id : absent) {
    Job* job = state_.job(id.job);
    const ActiveTask* task = job ? job->find_active(id.index) : nullptr;
    if (task && confirms_absence(pass, *task)) lifecycle_.mark_lost(id, "no longer has it", pass.now);
  }
}

void HeartbeatReconciler::count_other_tasks(const Reconciliation& pass) {
  const auto assigned = std::count_if(pass.present.begin(), pass.present.end(),
                                      [&](const TaskId& id) { return pass.machine.tasks.contains(id); });
  pass.machine.worker.other_tasks =
      static_cast<int>(pass.heartbeat.tasks.size()) - static_cast<int>(assigned);
}

void HeartbeatReconciler::update_load(Machine& machine, double now) {
  machine.load.heat = 0;
  for (const auto& [id, index] : machine.tasks) {
    const Stage stage = state_.jobs().at(id).active.at(index).stage;
    if (stage != Stage::Running && stage != Stage::Saving) ++machine.load.heat;
  }
  const double slack = machine.slack();
  if (machine.load.observed_at > 0 && now > machine.load.observed_at + kMinSlopeInterval) {
    const double weight = c::kSlopeSmoothing;
    const double passed = now - machine.load.observed_at;
    machine.load.slack_slope =
        (1 - weight) * machine.load.slack_slope + weight * (slack - machine.load.observed_slack) / passed;
    machine.load.heat_slope = (1 - weight) * machine.load.heat_slope +
                              weight * (machine.load.heat - machine.load.observed_heat) / passed;
  }
  machine.load.observed_slack = slack;
  machine.load.observed_heat = machine.load.heat;
  machine.load.observed_at = now;
}

void HeartbeatReconciler::attach_launches(Reconciliation& pass) {
  if (pass.channel != HeartbeatChannel::Heartbeat) return;
  const std::size_t most = c::kMaxCommandsPerMessage - pass.result.commands.size();
  const auto launches = commands_.take_launches_for_reply(pass.machine, pass.heartbeat.seq, most, pass.now);
  pass.result.commands.insert(pass.result.commands.end(), launches.begin(), launches.end());
}

}  // namespace corkmux
