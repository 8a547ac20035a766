// Starvation protection for classes and teams: which of them would be served by less than half as things go,
// and how many machines are reserved for them until that has passed.
//
// Owns how much of each class and team was served of late and how large its deficit is. It is told what waits
// and for how long it will, and looks at nothing else; so a new leader, who remembers nothing served, knows
// the same deficits within kReservationRise. It never decides which work is kept out of reserved machines:
// that is MachineReservations'.
#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "time_constants.h"

namespace corkmux {
namespace constants {

/// s until its end, waiting included, from which a job is in deficit.
inline constexpr double kDeficitFrom = 450.0;
inline constexpr double kDeficitFull = 600.0;        // s; by then all tiers are reserved
inline constexpr double kServiceWindow = 600.0;      // s over which what was served counts
inline constexpr double kServedShareTarget = 0.65;   // of what came; half is promised, the rest is margin
inline constexpr double kReservationUsageCap = 0.2;  // of the fleet; whoever uses more has its share
inline constexpr double kStarvedAfter = 120.0;       // s without anything running while some waits: one tier
inline constexpr double kReservationInterval = 1.0;  // s between updates
inline constexpr double kReservationRise = 30.0;     // s until all tiers are reserved; short bursts pass
inline constexpr double kReservationFall = 60.0;  // s until none is; slower than the rise, against flapping
inline constexpr double kReservationTierShare = 0.08;  // of the machines in one tier, about
inline constexpr int kReservationTiers = 2;            // each makes pools of its own in the capacity index
inline constexpr std::size_t kReservationGroupsRemembered = 1000;  // classes or teams remembered as served

}  // namespace constants

class ReservedCapacity {
 public:
  /// A job that waits, as the deficits are computed from it.
  struct WaitingJob {
    const std::string* job_class = nullptr;
    const std::string* team = nullptr;
    double waited_s = 0;     // so far
    double ends_s = 0;       // from its beginning until its end as things go
    double class_share = 0;  // of the fleet that its class uses now, 0 to 1
    double team_share = 0;   // of the fleet that its team uses now, 0 to 1
  };
  /// A job of theirs is done.
  void served(const std::string& job_class, const std::string& team, double now);
  /// Computes deficits anew from all that waits, at most once in kReservationInterval.
  void update(const std::vector<WaitingJob>& waiting, double now);
  /// Whether machines are reserved for such work.
  bool is_starving(const std::string& job_class, const std::string& team) const;
  /// How many tiers of machines are reserved: 0 to kReservationTiers.
  int reservation_tiers() const { return reservation_tiers_; }
  /// The tier that a machine is in for good, from 1; most are in none: 0.
  static int reservation_tier(const std::string& machine);
  /// Classes and teams in deficit, for the log.
  std::vector<std::string> starving() const;

 private:
  /// A class or a team.
  struct Group {
    double served = 0;  // jobs, decaying
    double served_at = kLongAgo;
    // Of the last update:
    bool waits = false;
    double share_used = 0;
    int unserved = 0;                  // waiting jobs in deficit
    double ends_s = 0;                 // of these together
    double deficit = 0;                // 0: nothing is reserved, 1: all tiers
    std::optional<double> idle_since;  // since when it waits and nothing of it runs
    bool starved = false;              // for longer than kStarvedAfter, and not served enough since
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
