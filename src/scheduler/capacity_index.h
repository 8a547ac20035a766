// Indexes machines by free capacity. It is updated with each heartbeat and assignment, so that a placement
// examines buckets of equal free capacity instead of every machine.
//
// Owns pools (machines of one type, zone, kind and reservation tier) and in each pool the buckets of machines
// that have exactly the same free capacity. ClusterState reports every change to it; it never reads the clock
// and makes no decisions: the zone draw and the sampled pick read bucket sums and single machines from it. A
// machine is in the index under its address, which must not change.
#pragma once
#include <array>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "model.h"
#include "time_constants.h"

namespace corkmux {

struct Machine;

/// Orders machines by name, so that no choice depends on memory addresses.
struct ByName {
  bool operator()(const Machine* left, const Machine* right) const;
};
using MachineSet = std::set<Machine*, ByName>;

/// Whether a machine takes new work, and until when that holds if nothing else changes.
struct MachineCapacity {
  enum class Use {
    Out,        // takes no new work
    Ready,      // takes any work
    Suspect,    // had recent failures: takes work only when it fits nowhere else
    Nominated,  // takes work only of the job that it is nominated for
  } use = Use::Out;
  std::string nominated_job;
  double until = kNever;  // s of the steady clock
};

class CapacityIndex {
 public:
  /// A sum over machines of values that change linearly between heartbeats.
  struct Drift {
    double value = 0;
    double slope = 0;                  // per s
    double slope_times_heartbeat = 0;  // slope times the time of the heartbeat
    /// The sum extrapolated to `now`.
    double at(double now) const { return value + slope * now - slope_times_heartbeat; }
    void add(const Drift& other);
    void subtract(const Drift& other);
  };
  struct CapacityBucket {
    Resources free;      // of each of its machines
    int task_slots = 0;  // of each of its machines, at most kTaskSlotsCounted
    std::vector<Machine*> machines;
    Drift slack;                                  // sum over the machines
    Drift heat;                                   // sum over the machines
    std::unordered_map<std::string, int> images;  // image -> how many of the machines hold it
  };
  /// Accelerators, CPUs and memory in units of 1e-6, finer than the tolerance of Resources::fits(), and task
  /// slots. Sorted by most accelerators, then most CPUs.
  using FreeCapacity = std::array<long long, 4>;
  using CapacityBuckets = std::map<FreeCapacity, CapacityBucket, std::greater<>>;
  struct Pool {
    std::string type;
    std::string zone;
    bool spot = false;
    int reservation_tier = 0;  // see ReservedCapacity
    Resources size;            // of each machine
    CapacityBuckets ready;
    CapacityBuckets suspect;
    /// Machines by the lowest priority of their stoppable tasks: those of arrays and services, not of gangs.
    std::array<std::vector<Machine*>, 4> stoppable;
    MachineSet stopping;  // machines with a task that is stopping
  };
  struct PoolKey {
    std::string type;
    std::string zone;
    bool spot = false;
    int reservation_tier = 0;
    auto operator<=>(const PoolKey&) const = default;
  };

  /// The index's data about a machine; stored in the machine, written only by the index.
  struct IndexEntry {
    Pool* pool = nullptr;
    CapacityBuckets* buckets = nullptr;  // null: not in any bucket
    CapacityBucket* bucket = nullptr;
    std::size_t position = 0;  // in its bucket
    Drift slack;
    Drift heat;
    MachineCapacity::Use use = MachineCapacity::Use::Out;
    std::string nominated_job;
    double wake_at = kNever;
    Resources counted_free;  // its share of the totals
    Resources counted_size;
    std::optional<std::size_t> lowest_stoppable;  // the index of its list in Pool::stoppable
    std::size_t stoppable_position = 0;           // in that list
  };

  /// Called when a machine is new or its state, free capacity, heat or images have changed. `slack` is the
  /// free share of the machine.
  void update(Machine& machine, const MachineCapacity& state, double slack);
  /// Removes the machine from its bucket until the next update. Needed before a change of its images, which
  /// must not change while it is in a bucket.
  void remove_from_bucket(Machine& machine);
  /// Removes a machine that is gone.
  void remove(Machine& machine);
  /// Called when the machine's stoppable or stopping tasks have changed.
  void update_stoppable(Machine& machine);
  /// Returns the machines whose state expires by `now`; the caller has to update each.
  std::vector<Machine*> due(double now);

  const std::map<PoolKey, Pool>& pools() const { return pools_; }
  /// Machines nominated for a job; a small set.
  const MachineSet& nominated_for(const std::string& job) const;
  /// Totals over the machines that take work.
  double free_gpus() const { return free_.gpus; }
  double all_gpus() const { return size_.gpus; }
  double all_cpus() const { return size_.cpus; }

 private:
  /// When a machine's state expires.
  struct WakeUp {
    double at = 0;
    Machine* machine = nullptr;
    auto operator<=>(const WakeUp&) const = default;
  };
  void enter_pool(Machine& machine);
  void update_wake_up(Machine& machine, double at);
  void update_nomination(Machine& machine, const std::string& job);
  void update_totals(Machine& machine, bool counted);
  void enter_bucket(Machine& machine, CapacityBuckets& buckets);
  void set_lowest_stoppable(Machine& machine, std::optional<std::size_t> priority);

  std::map<PoolKey, Pool> pools_;
  std::map<std::string, MachineSet> nominated_;  // by job
  std::set<WakeUp> wake_ups_;
  Resources free_;
  Resources size_;
};

}  // namespace corkmux
