// Which work is stopped so that a team gets its guarantee: PROTOCOL, "Preemption", allows it for work of any
// priority that another team runs beyond its own guarantee.
//
// Owns no state: a pure function of what is claimed, of the machines that the claim could use and of the work
// that may be stopped for it. It never stops anything; the scheduler does, and decides who may claim.
#pragma once
#include <optional>
#include <vector>

#include "model.h"

namespace corkmux {

/// One claim, and what may be stopped for it.
struct QuotaReclaimInput {
  /// What is claimed: `tasks` places of this size, all in one zone or anywhere.
  Resources need;
  int tasks = 1;
  bool one_zone = false;
  /// A machine that the claim may get room on.
  struct Place {
    Resources free;    // once all that is stopping already has stopped
    int zone = 0;      // 0 and up
    bool open = true;  // whether the claim may use it
  };
  std::vector<Place> places;
  /// What can only be stopped together: a task, or a whole gang.
  struct PreemptionUnit {
    int team = 0;              // index into `over_guarantee`
    double lost = 0;           // CPU seconds of work that the stop costs
    Resources need;            // of each member
    std::vector<int> members;  // the place of each
  };
  std::vector<PreemptionUnit> units;
  /// What each team runs over its guarantee: no more of it is stopped. Memory does not count.
  std::vector<Resources> over_guarantee;
};

/// The units to stop, by index: those that lose least first, and none that the claim can do without. Empty:
/// it fits as it is. nullopt: it cannot be met within what the teams run over their guarantees.
std::optional<std::vector<int>> choose_reclaim(const QuotaReclaimInput& input);

}  // namespace corkmux
