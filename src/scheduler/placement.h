// Places waiting tasks on machines: draws a zone by softmax of its utility, then picks the best of a sample
// of the zone's machines (the design page's zone draw and sampled pick). Gangs start as a whole or not at
// all.
//
// Owns the lines for the debug log and a count of the work done. It takes the fitting machines from
// CandidateSearch and the zones' rates of freed capacity from FreedCapacity, and assigns through
// TaskLifecycle. It never stops work and does not decide the order of jobs.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "candidate_search.h"
#include "cluster_state.h"
#include "freed_capacity.h"
#include "random_source.h"
#include "task_lifecycle.h"
#include "time_constants.h"

namespace corkmux {
namespace constants {

// Parameters of the zone draw and the sampled pick, see docs/design.md.
inline constexpr double kZoneDrawTemperature = 1.0;  // paper III-D: temperature of the zone draw
inline constexpr double kHeatWeight = 0.5;           // weight of heat against slack
inline constexpr double kFetchWeight = 0.5;          // utility lost per second of image fetch
inline constexpr int kSampleSize = 12;               // machines examined per pick
inline constexpr int kPicksPerGang = 1024;           // a larger gang's picks place several tasks each
inline constexpr double kScoreNoise = 0.05;  // standard deviation of the noise on a pick, in units of utility
inline constexpr double kAcceleratorPenalty = 0.3;  // utility that an unneeded accelerator costs
inline constexpr double kMaxZoneHold = 5.0;  // s; longest expected time for which a zone is held for a gang

}  // namespace constants

class Placement {
 public:
  Placement(ClusterState& state, CandidateSearch& search, RandomSource& random,
            const FreedCapacity& freed_capacity, TaskLifecycle& lifecycle)
      : state_(state),
        search_(search),
        random_(random),
        freed_capacity_(freed_capacity),
        lifecycle_(lifecycle) {}

  /// Places all tasks of the gang, or sets the job's `why` to the reason for which it waits. Returns whether
  /// the gang was placed.
  bool place_gang(Job& job, double now);
  /// Places up to `budget` queued tasks and sets the job's `why` to the reason for which the rest waits.
  /// Returns how many were placed.
  int place_tasks(Job& job, int budget, double now);
  /// Holds a zone's free machines for a gang that is due, if the missing capacity is about to become free.
  void hold_zone_for_gang(const Job& job, double now);

  /// Returns and clears the debug log lines: one per placed gang, if SchedulerConfig::details is set.
  std::vector<std::string> take_details() { return std::exchange(details_, {}); }
  /// Machines examined so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  struct ZoneCapacity {
    double slack = 0;
    double heat = 0;
    double fetch_s = kNever;  // the least of any machine
    double machines = 0;
    int slots = 0;
  };
  using CapacityByZone = std::map<std::string, ZoneCapacity>;
  struct Choice {
    Machine* machine = nullptr;  // null: there are no candidates
    double fetch_s = 0;
  };

  CapacityByZone capacity_by_zone(const JobSpec& spec, const std::vector<CandidateGroup>& groups,
                                  double now) const;
  void add_group(const JobSpec& spec, const CandidateGroup& group, double now, ZoneCapacity& zone) const;
  double fetch_time(const JobSpec& spec, const CandidateGroup& group) const;
  std::vector<std::string> draw_zones(const JobSpec& spec, const CapacityByZone& zones);
  Choice pick_machine(const JobSpec& spec, const std::vector<CandidateGroup>& groups, double now);
  bool assign_gang(Job& job, Suspects suspects, const std::vector<std::string>& zones, double now);
  void note_gang_placed(const Job& job, double slowest_fetch_s, double now);
  std::vector<CandidateGroup> candidates_for_task(const Job& job,
                                                  const std::map<std::string, int>& tasks_in_zone,
                                                  double now);

  ClusterState& state_;
  CandidateSearch& search_;
  RandomSource& random_;
  const FreedCapacity& freed_capacity_;
  TaskLifecycle& lifecycle_;
  std::vector<std::string> details_;
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux
