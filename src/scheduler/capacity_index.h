// Which machines have how much room, kept as reports and assignments come, so that a placement looks at kinds
// of room instead of at machines. Machines of one type, zone, tenure and shelf are a pool; in it all that
// have exactly the same room are a level. Nothing here decides: the zone draw and the sampled pick read sums
// of levels and single machines from it. A machine is in the index under its address, which must not change.
#pragma once
#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "model.h"

namespace corkmux {

struct Machine;

/// By name, so that no choice depends on where machines are in memory.
struct ByName {
  bool operator()(const Machine* a, const Machine* b) const;
};
using MachineSet = std::set<Machine*, ByName>;

/// Where new work may go as things stand, and until when that holds if nothing else changes.
struct MachineCapacity {
  enum class Use {
    Out,      // takes no new work
    Ready,    // takes any
    Suspect,  // failed lately: takes work only where nothing else has room
    Kept,     // only of one job
  } use = Use::Out;
  std::string kept_for;
  double until = 1e18;  // s of the steady clock
};

class CapacityIndex {
 public:
  /// Sums over machines, of values that drift between reports: as of a moment, `at(now)` a little later.
  struct Drift {
    double value = 0, slope = 0, slope_heard = 0;
    double at(double now) const { return value + slope * now - slope_heard; }
    void add(const Drift& d, double sign) {
      value += sign * d.value, slope += sign * d.slope, slope_heard += sign * d.slope_heard;
    }
  };
  struct CapacityBucket {
    Resources free;  // of each of its machines
    std::vector<Machine*> machines;
    Drift slack, heat;                            // of all of them together
    std::unordered_map<std::string, int> images;  // how many of them hold each
  };
  /// In units of 1e-6, less than what Resources::fits() lets pass. Most accelerators and CPUs first.
  using FreeCapacity = std::array<long long, 3>;
  using CapacityBuckets = std::map<FreeCapacity, CapacityBucket, std::greater<>>;
  struct Pool {
    std::string type, zone;
    bool spot = false;
    int reservation_tier = 0;  // see Floor
    Resources size;            // of each machine
    CapacityBuckets ready, suspect;
    /// Machines by the lowest priority of what may be stopped there: arrays and services, gangs apart.
    std::array<std::vector<Machine*>, 4> stoppable;
    MachineSet stopping;  // something there is on its way out
  };

  /// What the index holds of a machine; kept in the machine, written by the index only.
  struct IndexEntry {
    Pool* pool = nullptr;
    CapacityBuckets* levels = nullptr;  // none: not in any level
    CapacityBucket* level = nullptr;
    std::size_t position = 0;  // in its level
    Drift slack, heat;
    MachineCapacity::Use use = MachineCapacity::Use::Out;
    std::string kept_for;
    double wake_at = 1e18;
    Resources counted_free, counted_size;  // in the totals of accelerators
    int lowest = -1;                       // its list in `stoppable`, and where in it
    std::size_t lowest_position = 0;
  };

  /// Its state, room, heat or images have changed, or it is new. `slack` is the share of it that is free.
  void update(Machine& m, const MachineCapacity& state, double slack);
  /// Out of its level until the next update: its images must not change while it is in one.
  void take_out(Machine& m);
  void remove(Machine& m);
  /// What may be stopped on it has changed.
  void note_tasks(Machine& m);
  /// Machines whose state was to hold until now: each has to be updated.
  std::vector<Machine*> due(double now);

  using PoolKey = std::tuple<std::string, std::string, bool, int>;
  const std::map<PoolKey, Pool>& pools() const { return pools_; }
  /// Machines kept for a job, few.
  const MachineSet& kept_for(const std::string& job) const;
  /// Accelerators on machines that take work: those free, and all.
  double free_gpus() const { return free_.gpus; }
  double all_gpus() const { return size_.gpus; }
  double all_cpus() const { return size_.cpus; }

 private:
  void list(Machine& m, int lowest);

  std::map<PoolKey, Pool> pools_;
  std::map<std::string, MachineSet> kept_;
  std::set<std::pair<double, Machine*>> wakes_;
  Resources free_, size_;
};

}  // namespace corkmux
