// Jobs that depend on jobs: when one may start, what a cancellation takes with it, and what a job inherits
// from its dependents. Graphs may be deep or wide, so nothing here recurses.
//
// Owns who depends on whom among unfinished jobs, how finished jobs ended as far as remembered, and of which
// jobs that has to be looked up. It needs the cluster's state, and TaskLifecycle for the order of ends. It
// never stops a task: a job that depends on another has none yet.
#pragma once
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster_state.h"
#include "task_lifecycle.h"

namespace corkmux {
/// How a job ended, as it is stored.
enum class JobOutcome { Done, Cancelled };

class DependencyGraph {
 public:
  DependencyGraph(ClusterState& state, TaskLifecycle& lifecycle) : state_(state), lifecycle_(lifecycle) {}

  /// The job is new.
  void add(Job& job);
  /// The job's end is stored, or its record is gone; it depended on those.
  void remove(const std::string& id, const std::vector<std::string>& dependencies);
  /// All that the job depends on was done; the moment is not known.
  void assume_met(Job& job);
  /// How a job ended.
  void record_outcome(const std::string& id, JobOutcome how, double ended_at);
  /// Cancels all that depend on a cancelled job, directly or through others.
  void cancel_dependents(const std::string& id);
  /// Dependencies of which nothing is known, to be looked up in the store.
  const std::set<std::string>& unknown() const { return unknown_; }
  /// Whether any job depends on others.
  bool any() const { return !dependents_.empty(); }
  /// Jobs that need a cancelled one and whose end is not stored yet.
  std::vector<std::string> dependents_of_cancelled() const;

 private:
  struct Ended {
    JobOutcome how;
    double at = 0;
  };
  void add_dependency(Job& job, const std::string& dependency);
  void remove_edge(const std::string& id, const std::string& dependency);
  void met(Job& job, const std::string& dependency, double at);
  /// Gives the job, and through it what it depends on, the urgency of its dependents.
  void inherit(Job& first);
  /// What a job has of its own and of its dependents.
  struct Urgency {
    Priority priority;
    double due_at;
  };
  Urgency urgency_of(const Job& job) const;

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  std::unordered_map<std::string, std::vector<std::string>> dependents_;  // of unfinished jobs
  std::set<std::string> unknown_;
  std::unordered_map<std::string, Ended> outcomes_;
  std::deque<std::string> outcome_order_;
};

}  // namespace corkmux
