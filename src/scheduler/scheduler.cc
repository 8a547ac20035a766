#include "scheduler.h"

namespace corkmux {

Scheduler::Scheduler(SchedulerConfig config, std::uint64_t term, double now, std::uint64_t seed)
    : state_(std::move(config), term, now), arrivals_(now), random_(seed) {}

void Scheduler::upsert_job(const JobSpec& spec, std::uint64_t revision, bool cancelled, double now,
                           double age_s) {
  auto [job, added] = state_.add_job(spec, revision, now - age_s);
  if (added) {
    arrivals_.job_added(age_s, now);
    dependencies_.add(job);
  }
  state_.mark_changed(spec.id);
  state_.request_cycle();
  if (cancelled && !job.cancelled) {
    lifecycle_.cancel(job, now);
    dependencies_.cancel_dependents(spec.id);
  }
  state_.reindex(job);
}

void Scheduler::forget_job(const std::string& id) {
  Job* job = state_.job(id);
  if (!job) return;
  const std::vector<std::string> dependencies = std::move(job->spec.dependencies);
  lifecycle_.forget(*job);
  dependencies_.remove(id, dependencies);
}

int Scheduler::running(const Job& job) const {
  int count = 0;
  for (const auto& [index, task] : job.active)
    if (task.stage == ActiveTask::Stage::Running || task.stage == ActiveTask::Stage::Saving) ++count;
  return count;
}

std::string Scheduler::reason(const Job& job) const {
  return job.queued > 0 || !job.failed_on.empty() ? job.why : "";
}

void Scheduler::heartbeat_answered(const std::string& machine, double now) {
  if (Machine* known = state_.machine(machine)) known->worker.last_reply_at = now;
}

void Scheduler::set_unreachable(const std::string& machine, double now) {
  if (Machine* known = state_.machine(machine)) commands_.set_unreachable(*known, now);
}

void Scheduler::tick(double now) {
  if (!jobs().empty()) arrivals_.note_unfinished_job(now);
  machines_.tick(now);
  lifecycle_.tick(now);
}

void Scheduler::records_loaded() {
  records_.finish_loading();
  for (auto& [id, job] : state_.jobs()) {
    for (int i = 0; job.gang_completed() && i < job.spec.tasks; ++i) TaskRecordStore::recover_done(job, i);
    state_.reindex(job);
    if (job.over()) lifecycle_.note_ending(id);
    // A task is assigned only after all dependencies of its job are done, so a task record proves them met.
    if (!job.task_records.empty()) dependencies_.assume_met(job);
  }
  dependencies_.refresh_urgency();
}

}  // namespace corkmux
