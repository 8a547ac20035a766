// Jobs that await jobs: when one may start, what a cancellation takes with it, and what a job inherits from
// those that need it. Graphs may be deep or wide, so nothing here recurses.
#include <algorithm>

#include "scheduler.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;

/// s from the moment a job may start until what needs it may, as its owner estimates.
double Scheduler::step_s(const Job& job) const { return std::max(1.0, job.spec.estimate_s); }

std::string Scheduler::waiting_for(const Job& job) {
  if (job.unmet_dependencies.empty()) return "";
  return "waiting for " + *job.unmet_dependencies.begin() +
         (job.unmet_dependencies.size() > 1 ? " and others" : "");
}

void Scheduler::dependency_met(const std::string& id, const std::string& awaited) {
  auto d = dependents_.find(awaited);
  if (d == dependents_.end()) return;
  std::erase(d->second, id);
  if (!d->second.empty()) return;
  dependents_.erase(d);
  unknown_.erase(awaited);
}

void Scheduler::await(Job& job) {
  const std::string& id = job.spec.id;
  for (const auto& awaited : job.spec.dependencies) {
    if (auto o = outcomes_.find(awaited); o != outcomes_.end()) {
      if (o->second.first == Outcome::Done)
        job.ready_at = std::max(job.ready_at, o->second.second);
      else
        job.dependency_cancelled = true;
      continue;
    }
    job.unmet_dependencies.insert(awaited);
    dependents_[awaited].push_back(id);
    if (const Job* other = state_.job(awaited))
      job.dependency_cancelled |= other->cancelled || other->dependency_cancelled;
    else
      unknown_.insert(awaited);
  }
  job.why = waiting_for(job);
  if (job.dependency_cancelled) {
    ends(id);
    cancel_dependents(id);
  }
  inherit(job);
}

/// The highest priority and the tightest deadline of what needs it, through any number of steps.
void Scheduler::inherit(Job& first) {
  std::vector<Job*> todo{&first};
  bool fresh = true;
  while (!todo.empty()) {
    Job& job = *todo.back();
    todo.pop_back();
    Priority priority = job.spec.priority;
    double due = job.spec.deadline_s ? job.accepted_at + *job.spec.deadline_s : kNever;
    if (auto d = dependents_.find(job.spec.id); d != dependents_.end())
      for (const auto& id : d->second)
        if (const Job* other = state_.job(id); other && !other->cancelled && !other->dependency_cancelled) {
          priority = std::max(priority, other->priority);
          if (other->due_at < kNever) due = std::min(due, other->due_at - step_s(*other));
        }
    if (!std::exchange(fresh, false) && priority == job.priority && due == job.due_at) continue;
    state_.set_priority(job, priority);
    job.due_at = due;
    state_.reindex(job);
    for (const auto& id : job.unmet_dependencies)
      if (Job* awaited = state_.job(id)) todo.push_back(awaited);
  }
}

void Scheduler::met(Job& job, const std::string& awaited, double at) {
  if (!job.unmet_dependencies.erase(awaited)) return;
  job.ready_at = std::max(job.ready_at, at);
  dependency_met(job.spec.id, awaited);
  job.why = waiting_for(job);
  state_.mark_changed(job.spec.id);
  if (job.unmet_dependencies.empty()) state_.request_cycle();
  state_.reindex(job);
}

void Scheduler::outcome(const std::string& id, Outcome how, double at) {
  if (outcomes_.try_emplace(id, how, at).second) outcome_order_.push_back(id);
  if (outcome_order_.size() > c::kFinalCache) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
  unknown_.erase(id);
  if (how == Outcome::Cancelled) return cancel_dependents(id);
  auto d = dependents_.find(id);
  if (d == dependents_.end()) return;
  for (const auto& needs_it : std::vector<std::string>(d->second))
    if (Job* job = state_.job(needs_it)) met(*job, id, at);
}

/// All that need it, directly or through others. They have no task anywhere: none of them could start.
void Scheduler::cancel_dependents(const std::string& id) {
  std::vector<std::string> todo{id};
  while (!todo.empty()) {
    auto d = dependents_.find(todo.back());
    todo.pop_back();
    if (d == dependents_.end()) continue;
    for (const auto& needs_it : d->second) {
      Job* job = state_.job(needs_it);
      if (!job || job->dependency_cancelled) continue;
      if (!job->cancelled) {
        job->dependency_cancelled = true;
        job->why = "a job that it needs was cancelled";
        ends(needs_it);
        state_.mark_changed(needs_it);
        state_.reindex(*job);
      }
      todo.push_back(needs_it);
    }
  }
}

std::vector<std::string> Scheduler::dependents_of_cancelled() const {
  std::vector<std::string> out;
  for (const auto& [id, order] : ending_)
    if (auto job = state_.jobs().find(id); job != state_.jobs().end() && job->second.dependency_cancelled)
      out.push_back(id);
  return out;
}

}  // namespace corkmux
