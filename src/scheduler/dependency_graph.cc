#include "dependency_graph.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;

namespace {

/// s from a job's earliest start until its dependents may start, as estimated by the job's owner.
double estimated_duration_s(const Job& job) { return std::max(1.0, job.spec.estimate_s); }

std::string waiting_reason(const Job& job) {
  if (job.unmet_dependencies.empty()) return "";
  const std::string others = job.unmet_dependencies.size() > 1 ? " and others" : "";
  return "waiting for " + *job.unmet_dependencies.begin() + others;
}

}  // namespace

void DependencyGraph::add(Job& job) {
  const std::string& id = job.spec.id;
  unknown_outcomes_.erase(id);
  for (const std::string& dependency : job.spec.dependencies) add_dependency(job, dependency);
  job.why = waiting_reason(job);
  if (job.dependency_cancelled) {
    lifecycle_.note_ending(id);
    cancel_dependents(id);
  }
  propagate_urgency(job);
}

void DependencyGraph::add_dependency(Job& job, const std::string& dependency) {
  if (auto ended = outcomes_.find(dependency); ended != outcomes_.end()) {
    if (ended->second.outcome == JobOutcome::Done)
      job.ready_at = std::max(job.ready_at, ended->second.ended_at);
    else
      job.dependency_cancelled = true;
    return;
  }
  job.unmet_dependencies.insert(dependency);
  dependents_[dependency].insert(job.spec.id);
  const Job* other = state_.job(dependency);
  if (!other)
    unknown_outcomes_.insert(dependency);
  else if (other->cancelled || other->dependency_cancelled)
    job.dependency_cancelled = true;
}

void DependencyGraph::remove(const std::string& id, const std::vector<std::string>& dependencies) {
  // Jobs that still depend on the removed job get its outcome from the state store.
  if (dependents_.contains(id) && !outcomes_.contains(id)) unknown_outcomes_.insert(id);
  for (const std::string& dependency : dependencies) {
    remove_edge(id, dependency);
    if (Job* job = state_.job(dependency)) propagate_urgency(*job);
  }
}

void DependencyGraph::remove_edge(const std::string& id, const std::string& dependency) {
  auto found = dependents_.find(dependency);
  if (found == dependents_.end()) return;
  found->second.erase(id);
  if (!found->second.empty()) return;
  dependents_.erase(found);
  unknown_outcomes_.erase(dependency);
}

// ---------------------------------------------------------------- outcomes

void DependencyGraph::mark_met(Job& job, const std::string& dependency, double ended_at) {
  if (!job.unmet_dependencies.erase(dependency)) return;
  job.ready_at = std::max(job.ready_at, ended_at);
  remove_edge(job.spec.id, dependency);
  job.why = waiting_reason(job);
  state_.mark_changed(job.spec.id);
  if (job.unmet_dependencies.empty()) state_.request_cycle();
  state_.reindex(job);
}

void DependencyGraph::assume_met(Job& job) {
  for (const std::string& dependency : std::unordered_set<std::string>(job.unmet_dependencies))
    mark_met(job, dependency, job.accepted_at);
}

void DependencyGraph::record_outcome(const std::string& id, JobOutcome outcome, double ended_at) {
  if (outcomes_.try_emplace(id, StoredOutcome{outcome, ended_at}).second) outcome_order_.push_back(id);
  if (outcome_order_.size() > c::kFinishedJobsCached) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
  unknown_outcomes_.erase(id);
  if (outcome == JobOutcome::Cancelled) {
    cancel_dependents(id);
    return;
  }
  auto found = dependents_.find(id);
  if (found == dependents_.end()) return;
  const auto dependents = found->second.by_position();  // a copy: each one met is removed
  for (const auto& [position, dependent] : dependents)
    if (Job* job = state_.job(dependent)) mark_met(*job, id, ended_at);
}

// No task has to be stopped: a job cannot start before all of its dependencies are done.
void DependencyGraph::cancel_dependents(const std::string& id) {
  std::vector<std::string> cancelled{id};
  while (!cancelled.empty()) {
    auto found = dependents_.find(cancelled.back());
    cancelled.pop_back();
    if (found == dependents_.end()) continue;
    for (const auto& [position, dependent] : found->second.by_position()) {
      Job* job = state_.job(dependent);
      if (!job || job->dependency_cancelled) continue;
      cancelled.push_back(dependent);
      if (job->cancelled) continue;
      job->dependency_cancelled = true;
      job->why = "a job that it needs was cancelled";
      lifecycle_.note_ending(dependent);
      state_.mark_changed(dependent);
      state_.reindex(*job);
    }
  }
}

std::vector<std::string> DependencyGraph::dependents_of_cancelled() const {
  std::vector<std::string> out;
  for (const auto& [id, order] : lifecycle_.ending()) {
    const Job* job = state_.job(id);
    if (job && job->dependency_cancelled) out.push_back(id);
  }
  return out;
}

// ---------------------------------------------------------------- inheritance

DependencyGraph::Urgency DependencyGraph::urgency_of(const Job& job) {
  Urgency urgency{job.spec.priority, job.spec.deadline_s ? job.accepted_at + *job.spec.deadline_s : kNever};
  auto found = dependents_.find(job.spec.id);
  if (found == dependents_.end()) return urgency;
  edges_examined_ += found->second.size();
  for (const auto& [position, id] : found->second.by_position()) {
    const Job* dependent = state_.job(id);
    if (!dependent || dependent->cancelled || dependent->dependency_cancelled) continue;
    urgency.priority = std::max(urgency.priority, dependent->priority);
    if (dependent->due_at < kNever)
      urgency.due_at = std::min(urgency.due_at, dependent->due_at - estimated_duration_s(*dependent));
  }
  return urgency;
}

bool DependencyGraph::inherit_urgency(Job& job) {
  const Urgency urgency = urgency_of(job);
  if (urgency.priority == job.priority && urgency.due_at == job.due_at) return false;
  state_.set_priority(job, urgency.priority);
  job.due_at = urgency.due_at;
  state_.reindex(job);
  return true;
}

bool DependencyGraph::defer_to_refresh() {
  if (urgency_stale_) return true;
  if (edges_examined_ - edges_examined_at_refresh_ < c::kUrgencyEdgesExamined) return false;
  urgency_stale_ = true;
  state_.request_cycle();
  return true;
}

// A job inherits the highest priority and the tightest deadline of its direct and indirect dependents. A job
// may be visited once for each path by which a tighter deadline reaches it, and their number can double with
// each step of a pipeline: so the number of edges examined is bounded.
void DependencyGraph::propagate_urgency(Job& first) {
  std::vector<Job*> pending{&first};
  bool is_first = true;
  while (!pending.empty() && !defer_to_refresh()) {
    Job& job = *pending.back();
    pending.pop_back();
    if (!inherit_urgency(job) && !is_first) continue;
    is_first = false;
    edges_examined_ += job.unmet_dependencies.size();
    for (const std::string& id : job.unmet_dependencies)
      if (Job* dependency = state_.job(id)) pending.push_back(dependency);
  }
}

void DependencyGraph::refresh_urgency() {
  if (std::exchange(urgency_stale_, false)) refresh_all();
  edges_examined_at_refresh_ = edges_examined_;
}

// Visits each job once, after all of its dependents (Kahn's algorithm). Jobs that depend on each other in a
// circle, which no controller accepts, keep their urgency.
void DependencyGraph::refresh_all() {
  std::unordered_map<const Job*, std::size_t> dependents_left;
  for (const auto& [id, job] : state_.jobs())
    for (const std::string& dependency : job.unmet_dependencies)
      if (const Job* known = state_.job(dependency)) ++dependents_left[known];
  std::vector<Job*> pending;
  for (auto& [id, job] : state_.jobs())
    if (!dependents_left.contains(&job)) pending.push_back(&job);
  while (!pending.empty()) {
    Job& job = *pending.back();
    pending.pop_back();
    inherit_urgency(job);
    edges_examined_ += job.unmet_dependencies.size();
    for (const std::string& id : job.unmet_dependencies)
      if (Job* dependency = state_.job(id); dependency && --dependents_left.at(dependency) == 0)
        pending.push_back(dependency);
  }
}

}  // namespace corkmux
