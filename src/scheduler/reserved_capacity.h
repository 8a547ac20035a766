// A floor for every class and team: which of them would be served by less than half as things go, and how
// many machines are kept for them until that has passed.
//
// Owns how much of each class and team was served of late and how far it is in arrears. It is told what waits
// and for how long it will, and looks at nothing else; so a new leader, who remembers nothing served, knows
// the same arrears within kReservationRise. Which work is kept out of kept machines is the book's
// (Cluster::excluded_by_reservation).
#pragma once
#include <map>
#include <string>
#include <vector>

namespace corkmux {

class ReservedCapacity {
 public:
  struct Waiting {
    const std::string *job_class = nullptr, *team = nullptr;
    double waited_s = 0, ends_s = 0;     // so far; and from its beginning until its end as things go
    double class_has = 0, team_has = 0;  // of the fleet that they use now, 0 to 1
  };
  /// A job of theirs is done.
  void served(const std::string& job_class, const std::string& team, double now);
  /// How things stand; every kReservationInterval s or more.
  void look(const std::vector<Waiting>& waiting, double now);
  /// Whether machines are kept for such work.
  bool holds(const std::string& job_class, const std::string& team) const;
  /// Shelves of machines that are kept: 0 to kReservationTiers.
  int reservation_tiers() const { return reservation_tiers_; }
  /// The shelf that a machine is on for good, from 1; most are on none: 0.
  static int reservation_tier(const std::string& machine);
  /// Classes and teams that are held, for the log.
  std::vector<std::string> starving() const;

 private:
  struct Group {
    double served = 0, served_at = -1e9;  // decaying
    double unserved = 0, ends_s = 0;      // of what waits and is in arrears: how many jobs, how long together
    double level = 0;                     // 0: none kept, 1: all shelves
    bool waits = false;                   // as of the last look
    double has = 0;                       // the same
    double idle_since = -1;               // s; since when it waits and nothing of it runs
    bool shut_out = false;
  };
  static double decayed(const Group& g, double now);
  static double wanted(Group& g, double now);
  std::map<std::string, Group> classes_, teams_;
  double looked_at_ = -1e9;
  int reservation_tiers_ = 0;
};

}  // namespace corkmux
