// Dependencies between jobs: when a job may start, which jobs a cancellation ends, and which priority and
// deadline a job inherits from its dependents. Graphs may be deep or wide, so no function here recurses.
//
// Owns the dependency edges between unfinished jobs, the outcomes of recently finished jobs, and the set of
// jobs whose outcome has to be read from the state store. Uses the cluster state, and TaskLifecycle for the
// order in which jobs end. It never stops a task: a job with unmet dependencies has none yet.
#pragma once
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster_state.h"
#include "insertion_ordered_set.h"
#include "task_lifecycle.h"

namespace corkmux {
namespace constants {

/// Edges examined between two refreshes to pass on the urgency of single jobs; beyond it the next refresh
/// does so for all jobs at once.
inline constexpr std::uint64_t kUrgencyEdgesExamined = 10000;

}  // namespace constants

/// How a job ended, as stored in the state store.
enum class JobOutcome { Done, Cancelled };

class DependencyGraph {
 public:
  DependencyGraph(ClusterState& state, TaskLifecycle& lifecycle) : state_(state), lifecycle_(lifecycle) {}

  /// Adds a new job, with its dependencies.
  void add(Job& job);
  /// Removes a job whose end is stored or whose record is gone. `dependencies`: the jobs it depended on.
  void remove(const std::string& id, const std::vector<std::string>& dependencies);
  /// Marks all dependencies of the job as done. When they were done is unknown, so the job counts as ready
  /// from its acceptance on.
  void assume_met(Job& job);
  /// Records how and when a job ended, and releases or cancels its dependents.
  void record_outcome(const std::string& id, JobOutcome outcome, double ended_at);
  /// Cancels all direct and indirect dependents of a cancelled job.
  void cancel_dependents(const std::string& id);
  /// Dependencies without a known outcome, to be looked up in the state store.
  const std::set<std::string>& unknown_outcomes() const { return unknown_outcomes_; }
  /// Whether any unfinished job has an unmet dependency.
  bool any() const { return !dependents_.empty(); }
  /// Jobs that depend on a cancelled job and whose end is not stored yet.
  std::vector<std::string> dependents_of_cancelled() const;
  /// Brings the inherited urgency of all jobs up to date; called before each scheduling cycle. Adding and
  /// removing jobs keeps it up to date only for graphs that need few steps.
  void refresh_urgency();
  /// Edges examined so far to pass on urgency: a measure of work that does not depend on the machine's speed.
  std::uint64_t edges_examined() const { return edges_examined_; }

 private:
  struct StoredOutcome {
    JobOutcome outcome;
    double ended_at = 0;
  };
  void add_dependency(Job& job, const std::string& dependency);
  void remove_edge(const std::string& id, const std::string& dependency);
  void mark_met(Job& job, const std::string& dependency, double ended_at);
  /// Passes the urgency of the job's dependents on to the job and to its direct and indirect dependencies.
  void propagate_urgency(Job& first);
  /// Priority and due time of a job, the more urgent of its own and its dependents'.
  struct Urgency {
    Priority priority;
    double due_at;
  };
  Urgency urgency_of(const Job& job);
  /// Returns whether the job's urgency has changed.
  bool inherit_urgency(Job& job);
  /// Whether kUrgencyEdgesExamined is used up; if so the next refresh passes on the urgency of all jobs.
  bool defer_to_refresh();
  void refresh_all();

  using Dependents = InsertionOrderedSet<std::string>;
  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  std::unordered_map<std::string, Dependents> dependents_;  // dependency -> unfinished jobs
  bool urgency_stale_ = false;  // some job's urgency is not up to date until the next refresh
  std::uint64_t edges_examined_ = 0;
  std::uint64_t edges_examined_at_refresh_ = 0;
  std::set<std::string> unknown_outcomes_;
  std::unordered_map<std::string, StoredOutcome> outcomes_;
  std::deque<std::string> outcome_order_;
};

}  // namespace corkmux
