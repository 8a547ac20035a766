// Chooses which work is stopped so that a team gets its guarantee. The protocol ("Preemption") allows this
// for work of any priority that another team runs beyond its own guarantee.
//
// Owns no state: a pure function of the claim, of the machines that the claim could use and of the work that
// may be stopped for it. GuaranteeClaims decides which jobs may claim and stops the chosen work.
#pragma once
#include <optional>
#include <vector>

#include "machine.h"
#include "model.h"

namespace corkmux {

/// One claim, and the work that may be stopped for it.
struct QuotaReclaimInput {
  /// The claimed resources: `tasks` slots of this size, all in one zone or in any.
  Resources need;
  int tasks = 1;
  bool one_zone = false;
  /// A machine on which the claim may get capacity.
  struct CandidateMachine {
    Resources free;                                  // once all tasks that are already stopping have exited
    int zone = 0;                                    // 0 and up
    bool usable = true;                              // whether the claim may use it
    int task_slots = constants::kMaxTasksOnMachine;  // once all tasks that are already stopping have exited
  };
  std::vector<CandidateMachine> machines;
  /// The smallest unit that can be stopped: a task of an array or service, or a whole gang.
  struct PreemptionUnit {
    int team = 0;              // index into `over_guarantee`
    double lost = 0;           // CPU seconds of work that the stop loses
    Resources need;            // of each member
    std::vector<int> members;  // index into `machines` of each
  };
  std::vector<PreemptionUnit> units;
  /// Each team's use over its guarantee: no more than that is stopped. Memory does not count.
  std::vector<Resources> over_guarantee;
};

/// Returns the indices of the units to stop: those that lose the least work first, and none that the claim
/// does not need. Empty: the claim fits as it is. nullopt: the claim cannot be met within the teams' use over
/// their guarantees.
std::optional<std::vector<int>> choose_reclaim(const QuotaReclaimInput& input);

}  // namespace corkmux
