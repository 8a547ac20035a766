// Starvation protection for classes and teams: estimates which of them would have less than half of their
// jobs served, and decides how many machines are reserved for these until that has passed.
//
// Owns the recently served jobs and the deficit of each class and team. Its input is only the waiting jobs
// with their expected waits; so a new leader, which has no record of served jobs, arrives at the same
// deficits within kReservationRise. It does not decide which jobs are excluded from reserved machines:
// MachineReservations does.
#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "time_constants.h"

namespace corkmux {
namespace constants {

/// s from a job's arrival to its expected end, waiting included, from which the job counts as in deficit.
inline constexpr double kDeficitStartTime = 450.0;
/// s from arrival to expected end at which all tiers are reserved.
inline constexpr double kFullDeficitTime = 600.0;
inline constexpr double kServiceWindow = 600.0;  // s; time constant of the decay of served jobs
/// Share of the jobs that arrived; half is promised, the rest is margin.
inline constexpr double kServedShareTarget = 0.65;
inline constexpr double kReservationUsageCap = 0.2;  // of the fleet; a group that uses more has its share
/// s with jobs waiting but none running, after which one tier is reserved.
inline constexpr double kStarvedAfter = 120.0;
inline constexpr double kReservationInterval = 1.0;  // s between updates
/// s until all tiers are reserved; short bursts end before that.
inline constexpr double kReservationRise = 30.0;
/// s until no tier is reserved; slower than the rise, against flapping.
inline constexpr double kReservationFall = 60.0;
inline constexpr double kReservationTierShare = 0.08;  // approximate share of the machines in one tier
inline constexpr int kReservationTiers = 2;            // each tier has its own pools in the capacity index
/// Limit on the number of classes, and of teams, whose served jobs are counted.
inline constexpr std::size_t kReservationGroupsRemembered = 1000;

}  // namespace constants

class ReservedCapacity {
 public:
  /// The properties of a waiting job from which the deficits are computed.
  struct WaitingJob {
    const std::string* job_class = nullptr;
    const std::string* team = nullptr;
    double waited_s = 0;        // so far
    double expected_end_s = 0;  // estimated s from its arrival until its end
    double class_share = 0;     // of the fleet that its class uses now, 0 to 1
    double team_share = 0;      // of the fleet that its team uses now, 0 to 1
  };
  /// Counts a finished job of the class and team.
  void served(const std::string& job_class, const std::string& team, double now);
  /// Recomputes the deficits from all waiting jobs, at most once in kReservationInterval.
  void update(const std::vector<WaitingJob>& waiting, double now);
  /// Whether machines are reserved for the class or the team.
  bool is_starving(const std::string& job_class, const std::string& team) const;
  /// How many tiers of machines are reserved: 0 to kReservationTiers.
  int reservation_tiers() const { return reservation_tiers_; }
  /// The fixed tier of a machine, from 1; 0 for most machines, which are in no tier.
  static int reservation_tier(const std::string& machine);
  /// Classes and teams in deficit, for the log.
  std::vector<std::string> starving() const;

 private:
  /// A class or a team.
  struct Group {
    double served = 0;  // decayed number of jobs
    double served_at = kLongAgo;
    // As of the last update:
    bool has_waiting_jobs = false;
    double share_used = 0;
    int unserved = 0;                  // waiting jobs in deficit
    double expected_end_s = 0;         // sum over these, s
    double deficit = 0;                // 0: nothing is reserved, 1: all tiers
    std::optional<double> idle_since;  // since when jobs wait and none runs
    bool starved = false;              // idle for longer than kStarvedAfter, and not served enough since
  };
  using Groups = std::map<std::string, Group>;
  static double decayed_served(const Group& group, double now);
  static void count_served(Groups& groups, const std::string& name, double now);
  static void count_waiting(Group& group, const WaitingJob& job, double share_used);
  static double target_deficit(Group& group, double now);
  static void update_deficits(Groups& groups, double passed_s, double now);
  static double largest_deficit(const Groups& groups);
  static bool in_deficit(const Groups& groups, const std::string& name);

  Groups classes_;
  Groups teams_;
  std::optional<double> updated_at_;
  int reservation_tiers_ = 0;
};

}  // namespace corkmux
