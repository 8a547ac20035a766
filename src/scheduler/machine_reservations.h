// Decides which machines are reserved for starving classes and teams, and which jobs are excluded from them.
//
// Owns the set of machine types that starving jobs can use. It passes the waiting jobs, in the order in which
// they are placed, to ReservedCapacity and applies the tiers that this returns. It never places work.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "cluster_state.h"
#include "reserved_capacity.h"

namespace corkmux {
namespace constants {

inline constexpr double kDefaultJobEstimate = 60.0;  // s; assumed run time of a task without an estimate

}  // namespace constants

class MachineReservations {
 public:
  MachineReservations(ClusterState& state, ReservedCapacity& capacity) : state_(state), capacity_(capacity) {}

  /// Estimates each waiting job's total time until its end, and reserves machines for classes and teams that
  /// starve by these estimates. `waiting`: in the order in which the jobs are placed.
  void update(const std::vector<const Job*>& waiting, double now);
  /// Whether machines are reserved for the job's class or team.
  bool is_starving(const Job& job) const { return capacity_.is_starving(job.spec.job_class, job.spec.team); }
  /// Whether machines in the tier are reserved at present.
  bool is_reserved(int reservation_tier) const {
    return reservation_tier > 0 && reservation_tier <= capacity_.reservation_tiers();
  }
  /// Whether machines of the type in the tier are reserved for other jobs, so that this job may not use them.
  bool excludes(const Job& job, const std::string& type, int reservation_tier) const;

 private:
  std::vector<ReservedCapacity::WaitingJob> estimate_waits(const std::vector<const Job*>& waiting,
                                                           double now) const;
  void note_changes();
  void add_usable_types(const JobSpec& spec);

  ClusterState& state_;
  ReservedCapacity& capacity_;
  std::set<std::string> reserved_types_;
  std::vector<std::string> noted_starving_;
};

}  // namespace corkmux
