// Runs one scheduling cycle: orders the bids of waiting jobs, and for each job places it, holds a zone for
// it, claims its team's guarantee or stops lower-priority work for it.
//
// Owns no state between cycles except a count of the work done. It uses all decision modules (reservations,
// search, placement, preemption, guarantee claims) and calls them in a fixed order. The step that rejects a
// job sets the job's `why` to the reason for which it waits.
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

inline constexpr int kTasksPlacedPerCycle = 96;  // bounds the time of one cycle
inline constexpr int kPreemptorsPerCycle = 4;    // jobs that may stop others in one cycle; bounds its time
inline constexpr double kGuaranteeBoost = 64.0;  // weight factor for work within its team's guarantee
inline constexpr double kStartDueShare = 0.8;  // of the time to its last start aim, after which a job is due
/// s that a job waits for higher-priority work of its team while the team's limit is reached.
inline constexpr double kMaxWaitBehindTeamLimit = 75.0;
/// s within which the first task of a large array should start.
inline constexpr double kLargeArrayStartTime = 240.0;
/// Share of kLargeArrayStartTime after which a large array of which no task has started goes first.
inline constexpr double kLargeArrayOverdueShare = 0.5;
inline constexpr int kLargeArrayTasks = 20;  // least number of tasks of a large array
/// Share of the time in which work within a guarantee should start that a job waits before it claims its
/// guarantee.
inline constexpr double kClaimDelayShare = 0.25;

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

  /// Runs one cycle. Requests another one if work may be left that could be placed.
  void run(double now);

  /// Jobs examined so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  /// How many start aims a waiting job has missed, and whether it is about to miss its last one. All values
  /// are defaults for a job that has started.
  struct StartAim {
    int missed = 0;
    bool due = false;    // kStartDueShare of the time to the last start aim is over
    double at = kNever;  // when the last start aim will be missed, if due
  };
  /// A waiting job with the properties that order it within the cycle.
  struct Bid {
    Job* job = nullptr;
    double weight = 0;
    StartAim aim;
    bool overdue = false;    // a large array that has waited for long and of which no task has started
    bool late = false;       // the job can no longer end in time
    double remaining_s = 0;  // task seconds left to start; 0 if it is late
  };
  /// The state of the running cycle: budgets left, and what has been done.
  struct Progress {
    int budget = constants::kTasksPlacedPerCycle;
    int preemptors = 0;
    bool claimed = false;
    Priority lowest_stoppable = Priority::Production;
    /// Team -> highest priority that its limit keeps waiting.
    std::map<std::string, Priority> waiting_at_limit;
  };

  std::vector<Bid> ordered_bids(double now);
  Bid bid_of(Job& job, double now) const;
  static bool bids_before(const Bid& left, const Bid& right);
  double weight(const Job& job) const;
  StartAim start_aim(const Job& job, double now) const;
  bool is_late(const Job& job, double now) const;
  void update_accelerator_demand(const std::vector<Bid>& bids);
  void note_waiting_at_limit(const Job& job, Progress& progress) const;
  void process(const Bid& bid, Progress& progress, double now);
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
