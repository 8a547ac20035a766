// Teams' guarantees: which jobs were admitted within one, and what is stopped of other teams so that these
// start.
//
// Owns no state but a count of the work done: admission stands in the job. It describes a claim as the pure
// function choose_reclaim() needs it, and carries that function's choice out by Preemption. It never stops
// what is within a guarantee, so no stopped work could claim anything back and two teams cannot take turns.
#pragma once
#include <cstdint>
#include <vector>

#include "candidate_search.h"
#include "cluster_state.h"
#include "preemption.h"
#include "quota_reclaim.h"

namespace corkmux {

/// What choose_reclaim() is asked, and what its places and units are in the scheduler's state.
struct QuotaReclaimCase {
  QuotaReclaimInput input;
  std::vector<Machine*> machines;  // of each place
  std::vector<TaskId> tasks;       // of each unit, one of its tasks
};

class GuaranteeClaims {
 public:
  GuaranteeClaims(ClusterState& state, CandidateSearch& search, Preemption& preemption)
      : state_(state), search_(search), preemption_(preemption) {}

  /// Decides which new jobs came within their team's guarantee, and ends the admission of those that have
  /// been started and left alone as a whole.
  void update_admissions(double now);
  /// Stops what other teams run over their guarantees for a job within its team's. Returns whether anything
  /// is.
  bool reclaim(Job& job, double now);

  /// Jobs, tasks and machines looked at so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  bool within_guarantee(const Job& job) const;
  void nominate_places(const Job& job, const QuotaReclaimCase& claim, const std::vector<int>& chosen,
                       double now);

  ClusterState& state_;
  CandidateSearch& search_;
  Preemption& preemption_;
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux
