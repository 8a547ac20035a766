// Enforces teams' guarantees: decides which jobs are admitted within one, and stops work of other teams so
// that admitted jobs start.
//
// Owns no state except a count of the work done: the admission is stored in the job. It builds the input of
// the pure function choose_reclaim() and carries out the result through Preemption. It never stops work
// within a guarantee, so stopped work cannot claim its capacity back and two teams cannot preempt each other
// in turns.
#pragma once
#include <cstdint>
#include <vector>

#include "candidate_search.h"
#include "cluster_state.h"
#include "preemption.h"
#include "quota_reclaim.h"

namespace corkmux {

/// The input of choose_reclaim(), with the machine or task in the scheduler state behind each index.
struct QuotaReclaimCase {
  QuotaReclaimInput input;
  std::vector<Machine*> machines;  // of each candidate machine
  std::vector<TaskId> tasks;       // of each unit, one of its tasks
};

class GuaranteeClaims {
 public:
  GuaranteeClaims(ClusterState& state, CandidateSearch& search, Preemption& preemption)
      : state_(state), search_(search), preemption_(preemption) {}

  /// Decides which new jobs arrived within their team's guarantee, and ends the admission of jobs whose tasks
  /// have all started and run undisturbed for kFreshStart.
  void update_admissions(double now);
  /// Stops work that other teams run over their guarantees, for a job within its team's guarantee. Returns
  /// whether any work is stopped.
  bool reclaim(Job& job, double now);

  /// Jobs, tasks and machines examined so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  bool within_guarantee(const Job& job) const;
  void nominate_machines(const Job& job, const QuotaReclaimCase& claim, const std::vector<int>& chosen,
                         double now);

  ClusterState& state_;
  CandidateSearch& search_;
  Preemption& preemption_;
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux
