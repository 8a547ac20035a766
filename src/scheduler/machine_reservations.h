// Which machines are reserved for starving classes and teams, and which work is kept out of them.
//
// Owns the starvation protection (ReservedCapacity) and the machine types that starving jobs can use. It
// needs the jobs that wait, in the order in which they are placed. It never places work.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "cluster_state.h"
#include "reserved_capacity.h"

namespace corkmux {
namespace constants {

inline constexpr double kDefaultJobEstimate = 60.0;  // s that a task without an estimate is taken to run

}  // namespace constants

class MachineReservations {
 public:
  explicit MachineReservations(ClusterState& state) : state_(state) {}

  /// A job of theirs is done.
  void served(const std::string& job_class, const std::string& team, double now) {
    capacity_.served(job_class, team, now);
  }
  /// Estimates how long each waiting job will have waited, and reserves machines for those who starve by
  /// that. `waiting`: in the order in which they are placed.
  void update(const std::vector<const Job*>& waiting, double now);
  /// Whether machines are reserved for such jobs.
  bool is_starving(const Job& job) const { return capacity_.is_starving(job.spec.job_class, job.spec.team); }
  /// Whether machines in the tier are reserved at present.
  bool is_reserved(int reservation_tier) const {
    return reservation_tier > 0 && reservation_tier <= capacity_.reservation_tiers();
  }
  /// Whether machines of the type in the tier are reserved for others than this job.
  bool excludes(const Job& job, const std::string& type, int reservation_tier) const;

 private:
  std::vector<ReservedCapacity::WaitingJob> estimate_waits(const std::vector<const Job*>& waiting,
                                                           double now) const;
  void note_changes();
  void add_usable_types(const JobSpec& spec);

  ClusterState& state_;
  ReservedCapacity capacity_;
  std::set<std::string> reserved_types_;
  std::vector<std::string> noted_starving_;
};

}  // namespace corkmux
