#include "task_lifecycle.h"

#include <algorithm>
#include <utility>

#include "mutation.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;
using Urgency = TaskRecordStore::Urgency;

namespace {

/// Whether a launch was sent and the task does not run yet.
bool has_not_started(const ActiveTask& task) {
  return task.stage == Stage::Sent || task.stage == Stage::Fetching || task.stage == Stage::Waiting;
}

}  // namespace

// ---------------------------------------------------------------- assignment

void TaskLifecycle::assign(Job& job, int index, Machine& machine, std::uint64_t attempt, double now) {
  ActiveTask task;
  task.attempt = attempt;
  task.machine = machine.name;
  task.zone = machine.zone;
  task.worker_epoch = machine.worker.epoch;
  task.since = now;
  task.minimum_token = kTokenNeverIssued;
  task.reservation_expires_at = now + c::kReservationTimeout + 2 * state_.fetch_time(job.spec, machine);
  task.generation = records_.mark_dirty(job, index, Urgency::Launch, now);
  state_.occupy(job, index, std::move(task), machine);
  ++machine.load.heat;
  state_.mark_changed(job.spec.id);
  state_.reindex(machine, now);
  state_.reindex(job);
}

void TaskLifecycle::unassign(Job& job, int index, double now) {
  const ActiveTask* task = job.find_active(index);
  if (!task) return;
  freed_capacity_.note(task->zone, job.spec.need, now);
  state_.vacate(job, index, now);
  TaskPhase& phase = job.phase[static_cast<std::size_t>(index)];
  if (phase == TaskPhase::Active) {
    phase = TaskPhase::Queued;
    ++job.queued;
    job.cursor = std::min(job.cursor, index);
    records_.mark_dirty(job, index, Urgency::Deferrable, now);
  }
  if (job.active.empty()) {
    job.draining = false;
    job.aborted = false;
  }
  state_.mark_changed(job.spec.id);
  state_.request_cycle();
  state_.reindex(job);
}

void TaskLifecycle::withdraw_unsent(Job& job, double now) {
  std::vector<int> unsent;
  tasks_examined_ += job.active.size();
  for (const auto& [index, task] : job.active)
    if (task.stage == Stage::Assigned) unsent.push_back(index);
  for (int index : unsent) unassign(job, index, now);
}

void TaskLifecycle::withdraw(Job& job, int index, double now) {
  unassign(job, index, now);
  if (job.is_gang()) abort_gang(job, now);
}

// Each member that is lost aborts its gang, so a gang whose members were all told to stop is left alone: the
// steps for losing all members would otherwise grow with the square of their number.
void TaskLifecycle::abort_gang(Job& job, double now) {
  if (job.aborted) return;
  withdraw_unsent(job, now);
  tasks_examined_ += job.active.size();
  for (const auto& [index, task] : job.active)
    if (!(job.draining && task.stop)) state_.request_stop(job, index, 0);
  job.aborted = !job.active.empty();
}

void TaskLifecycle::records_written(const std::vector<TaskRecordWrite>& batch, std::uint64_t revision,
                                    double now) {
  for (const TaskRecordWrite& write : batch) {
    Job* job = state_.job(write.job);
    if (!job) continue;
    const TaskRecord* record = records_.mark_written(*job, write, revision, now);
    if (record) release_launches(*job, write, record->count, now);
  }
}

bool TaskLifecycle::may_launch(const ActiveTask& task) const {
  const Machine* machine = state_.machine(task.machine);
  return machine && !machine->is_decommissioning() && task.worker_epoch == machine->worker.epoch &&
         !task.stop;
}

void TaskLifecycle::release_launches(Job& job, const TaskRecordWrite& write, int count, double now) {
  std::vector<int> withdrawn;
  const auto end = job.active.lower_bound(write.from + count);
  for (auto it = job.active.lower_bound(write.from); it != end; ++it) {
    const auto& [index, task] = *it;
    if (task.stage != Stage::Assigned || task.generation > write.generation) continue;
    if (!may_launch(task)) {
      withdrawn.push_back(index);
      continue;
    }
    Machine& machine = *state_.machine(task.machine);
    machine.commands.outbox.insert({write.job, index});
    state_.mark_for_dispatch(machine.name);
  }
  for (int index : withdrawn) unassign(job, index, now);
  if (!withdrawn.empty() && job.is_gang()) abort_gang(job, now);
}

// ---------------------------------------------------------------- task ends

void TaskLifecycle::finish(Job& job, int index, double now) {
  TaskPhase& phase = job.phase[static_cast<std::size_t>(index)];
  if (phase == TaskPhase::Done) return;
  if (phase == TaskPhase::Queued) --job.queued;
  phase = TaskPhase::Done;
  ++job.done;
  unassign(job, index, now);
  state_.reindex(job);
  records_.mark_dirty(job, index, Urgency::Deferrable, now);
}

void TaskLifecycle::finish_members(Job& job, bool active_too, double now) {
  tasks_examined_ += static_cast<std::uint64_t>(job.spec.tasks);
  for (int i = 0; i < job.spec.tasks; ++i)
    if (active_too || job.phase[static_cast<std::size_t>(i)] == TaskPhase::Queued) finish(job, i, now);
}

void TaskLifecycle::task_done(Job& job, int index, double now) {
  if (job.spec.kind == JobKind::Service) {  // a replica that ended is restarted
    unassign(job, index, now);
    return;
  }
  finish(job, index, now);
  // Gang members complete together, see "Gangs" in the protocol. Guards against freeing quota that is still
  // in use: one member being done does not prove that the others have left machines that hang or are
  // unreachable. So each member counts as done, and its slot as free, only by its own heartbeat or by other
  // proof that it is gone.
  const bool complete_all = mutation_enabled("a gang that is done has left all machines");
  if (job.gang_completed() && (job.queued > 0 || complete_all)) finish_members(job, complete_all, now);
  job.why.clear();
  if (job.over() && note_ending(job.spec.id))
    reserved_capacity_.served(job.spec.job_class, job.spec.team, now);
}

void TaskLifecycle::task_exited(Job& job, const TaskStatus& status, Machine& machine, double now) {
  if (!job.find_active(status.index)) return;
  if ((status.why == ExitReason::Done || job.gang_completed()) && !job.cancelled) {
    failures_.task_completed(machine, job);
    task_done(job, status.index, now);
    return;
  }
  const double next_heartbeat = now + state_.config().report_s;
  switch (status.why) {
    case ExitReason::Error:
      failures_.task_failed(machine, job, now);
      break;
    case ExitReason::NoCapacity:
      machine.no_capacity_until = next_heartbeat;
      break;
    case ExitReason::Busy:
    case ExitReason::Unknown:
      job.not_before = std::max(job.not_before, next_heartbeat);
      break;
    default:
      break;
  }
  withdraw(job, status.index, now);
}

void TaskLifecycle::mark_lost(const TaskId& id, const char* why, double now) {
  Job* job = state_.job(id.job);
  if (!job) return;
  if (job->gang_completed()) {
    task_done(*job, id.index, now);
    return;
  }
  if (job->why.empty()) job->why = std::string("its machine ") + why + "; started again";
  withdraw(*job, id.index, now);
}

void TaskLifecycle::mark_all_lost(Machine& machine, const char* why, double now, std::uint64_t before_epoch) {
  const std::set<TaskId> tasks = machine.tasks;
  for (const TaskId& id : tasks) {
    Job* job = state_.job(id.job);
    const ActiveTask* task = job ? job->find_active(id.index) : nullptr;
    if (task && task->worker_epoch < before_epoch) mark_lost(id, why, now);
  }
}

// ---------------------------------------------------------------- jobs

void TaskLifecycle::cancel(Job& job, double now) {
  job.cancelled = true;
  job.cancelled_at = now;
  withdraw_unsent(job, now);
  for (const auto& [index, task] : job.active) state_.request_stop(job, index, 0);
  note_ending(job.spec.id);
}

void TaskLifecycle::forget(Job& job) {
  const std::string id = job.spec.id;
  while (!job.active.empty()) unassign(job, job.active.begin()->first, 0);
  failures_.job_ended(job);
  state_.remove_job(id);
  ending_.erase(id);
}

std::vector<std::string> TaskLifecycle::finished_jobs() const {
  struct Finished {
    std::uint64_t order;
    std::string id;
  };
  // In the order in which the jobs ended. Guards against starvation of one job's end while the state store
  // accepts few changes.
  std::vector<Finished> finished;
  for (const auto& [id, order] : ending_) {
    const Job* job = std::as_const(state_).job(id);
    if (!job || job->finalizing || !job->active.empty() || !job->over()) continue;
    const bool in_flight = std::any_of(job->task_records.begin(), job->task_records.end(),
                                       [](const auto& record) { return record.second.in_flight; });
    if (!in_flight) finished.push_back({order, id});
  }
  std::sort(finished.begin(), finished.end(),
            [](const Finished& left, const Finished& right) { return left.order < right.order; });
  std::vector<std::string> out;
  out.reserve(finished.size());
  for (Finished& job : finished) out.push_back(std::move(job.id));
  return out;
}

// ---------------------------------------------------------------- time

void TaskLifecycle::tick(double now) {
  for (auto& [id, job] : state_.jobs()) {
    log_reason(job);
    expire_reservations(job, now);
    end_pause(job, now);
  }
}

void TaskLifecycle::log_reason(Job& job) {
  if (job.why == job.logged_why) return;
  if (!job.why.empty()) state_.note("job " + job.spec.id + " (" + job.spec.job_class + "): " + job.why);
  job.logged_why = job.why;
}

void TaskLifecycle::expire_reservations(Job& job, double now) {
  for (const auto& [index, task] : job.active) {
    if (!has_not_started(task) || task.stop || now <= task.reservation_expires_at) continue;
    job.why = "a reservation lapsed before the task had started; placed again";
    state_.request_stop(job, index, 0);
  }
}

void TaskLifecycle::end_pause(Job& job, double now) {
  if (!job.queued || job.not_before <= 0 || now < job.not_before) return;
  job.not_before = 0;
  state_.request_cycle();
}

void TaskLifecycle::extend_reservations(double until) {
  for (auto& [id, job] : state_.jobs())
    for (auto& [index, task] : job.active)
      task.reservation_expires_at = std::max(task.reservation_expires_at, until);
}

}  // namespace corkmux
