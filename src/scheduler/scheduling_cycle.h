// One scheduling cycle: orders the bids of waiting jobs, and for each places it, holds a zone, claims its
// team's guarantee or stops less urgent work for it.
//
// Owns no state between cycles but a count of the work done. It needs all modules that decide (reservations,
// search, placement, preemption, guarantee claims) and calls them in a fixed order. A job that is not placed
// is told why it waits by the step that refused it.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "candidate_search.h"
#include "cluster_state.h"
#include "guarantee_claims.h"
#include "machine_reservations.h"
#include "placement.h"
#include "preemption.h"

namespace corkmux {
namespace constants {

inline constexpr int kBidsPerCycle = 96;         // tasks placed per cycle; bounds the time of one turn
inline constexpr int kPreemptorsPerCycle = 4;    // jobs that may stop others in one cycle; bounds its time
inline constexpr double kGuaranteeBoost = 64.0;  // weight factor for work within its team's guarantee
inline constexpr double kDueShare = 0.8;  // of the time to its last start aim, after which a job is due
/// s that a job waits for more urgent work under its team's limit.
inline constexpr double kHeldPatience = 75.0;
inline constexpr double kBeginWithin = 240.0;  // s within which large arrays should begin
/// Share of kBeginWithin after which a large array of which nothing has begun goes first.
inline constexpr double kBeginShare = 0.5;
inline constexpr int kBeginTasks = 20;  // tasks of a large array
/// Share of the aim on starting within a guarantee that a job waits before it claims places.
inline constexpr double kClaimAfter = 0.25;

}  // namespace constants

class SchedulingCycle {
 public:
  SchedulingCycle(ClusterState& state, MachineReservations& reservations, CandidateSearch& search,
                  Placement& placement, Preemption& preemption, GuaranteeClaims& claims)
      : state_(state),
        reservations_(reservations),
        search_(search),
        placement_(placement),
        preemption_(preemption),
        claims_(claims) {}

  /// Runs one cycle. If work may be left that could be placed, another is requested.
  void run(double now);

  /// Jobs looked at so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  /// How long a job has until it misses its next start aim, and how many it has missed; none for one that has
  /// started.
  struct StartAim {
    int missed = 0;
    bool due = false;    // most of its time is over
    double at = kNever;  // when it will be missed
  };
  struct Bid {
    Job* job = nullptr;
    double weight = 0;
    StartAim aim;
    bool overdue = false;  // nothing has begun of a large array that has waited long
    bool late = false;     // it can no longer end in time
    double left_s = 0;     // task seconds that are left to start; 0 if it is late
  };
  /// What has been used up in the cycle.
  struct Progress {
    int budget = constants::kBidsPerCycle;
    int preemptors = 0;
    bool claimed = false;
    Priority lowest_stoppable = Priority::Production;
    std::map<std::string, Priority> waiting_at_limit;  // team -> the highest that its limit keeps waiting
  };

  std::vector<Bid> ordered_bids(double now);
  Bid bid_of(Job& job, double now) const;
  static bool bids_before(const Bid& left, const Bid& right);
  double weight(const Job& job) const;
  StartAim start_aim(const Job& job, double now) const;
  bool is_late(const Job& job, double now) const;
  void update_accelerator_demand(const std::vector<Bid>& bids);
  void note_waiting_at_limit(const Job& job, Progress& progress) const;
  void settle(const Bid& bid, Progress& progress, double now);
  void place(const Bid& bid, bool one_task, Progress& progress, double now);
  bool claim_guarantee(Job& job, Progress& progress, double now);
  void preempt(Job& job, Progress& progress, double now);

  ClusterState& state_;
  MachineReservations& reservations_;
  CandidateSearch& search_;
  Placement& placement_;
  Preemption& preemption_;
  GuaranteeClaims& claims_;
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux
