// Places waiting tasks on machines: a zone drawn by softmax of its utility, then the best of a sample of its
// machines (DESIGN's zone draw and sampled pick). Gangs start as a whole or not at all.
//
// Owns the lines for the debug log and a count of the work done. It needs the machines that fit from
// CandidateSearch, the rates at which zones' places become free from FreedCapacity, and TaskLifecycle, which
// assigns. It never stops anything and decides no order of jobs.
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

// DESIGN's figures; docs/design.md says which were measured.
inline constexpr double kTau = 1.0;          // paper III-D: temperature of the zone draw
inline constexpr double kGamma = 0.5;        // weight of heat against slack
inline constexpr double kFetchWeight = 0.5;  // utility lost per second of image fetch
inline constexpr int kSampleSize = 12;       // machines looked at per pick
inline constexpr double kScoreNoise = 0.05;  // standard deviation of the pick's jitter, in units of utility
inline constexpr double kAcceleratorPenalty = 0.3;  // utility that an unneeded accelerator costs
inline constexpr double kZoneHoldLimit = 5.0;       // s; a zone is held for a gang no longer than that

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

  /// Places all tasks of the gang, or says in the job why it waits. Returns whether it was placed.
  bool place_gang(Job& job, double now);
  /// Places up to `budget` queued tasks, and says in the job why the rest waits. Returns how many were
  /// placed.
  int place_tasks(Job& job, int budget, double now);
  /// Holds a zone's free machines for a gang that is due, where the rest it needs is about to be free.
  void hold_zone_for_gang(const Job& job, double now);

  /// One line per placed gang, when the configuration asks for it.
  std::vector<std::string> take_details() { return std::exchange(details_, {}); }
  /// Machines looked at so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  struct ZoneCapacity {
    double slack = 0;
    double heat = 0;
    double fetch_s = kNever;  // the least of any machine
    double machines = 0;
    int places = 0;
  };
  using CapacityByZone = std::map<std::string, ZoneCapacity>;
  struct Choice {
    Machine* machine = nullptr;  // none: there are no candidates
    double fetch_s = 0;
  };

  CapacityByZone capacity_by_zone(const JobSpec& spec, const std::vector<CandidateGroup>& groups,
                                  double now) const;
  void add_group(const JobSpec& spec, const CandidateGroup& group, double now, ZoneCapacity& zone) const;
  double fetch_time(const JobSpec& spec, const CandidateGroup& group) const;
  std::vector<std::string> draw_zones(const JobSpec& spec, const CapacityByZone& zones);
  Choice pick(const JobSpec& spec, const std::vector<CandidateGroup>& groups, double now);
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
