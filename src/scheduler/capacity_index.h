// Which machines have how much free capacity, kept up as heartbeats and assignments come, so that a placement
// looks at buckets of equal free capacity instead of at machines.
//
// Owns pools (machines of one type, zone, kind and reservation tier) and in each the buckets of machines that
// have exactly the same free capacity. It is told of every change; it never reads the clock and decides
// nothing: the zone draw and the sampled pick read sums of buckets and single machines from it. A machine is
// in the index under its address, which must not change.
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

/// By name, so that no choice depends on where machines are in memory.
struct ByName {
  bool operator()(const Machine* left, const Machine* right) const;
};
using MachineSet = std::set<Machine*, ByName>;

/// Where new work may go as things stand, and until when that holds if nothing else changes.
struct MachineCapacity {
  enum class Use {
    Out,        // takes no new work
    Ready,      // takes any
    Suspect,    // failed lately: takes work only where nothing else has room
    Nominated,  // takes work only of the job that it is nominated for
  } use = Use::Out;
  std::string nominated_job;
  double until = kNever;  // s of the steady clock
};

class CapacityIndex {
 public:
  /// A sum over machines of values that drift between heartbeats.
  struct Drift {
    double value = 0;
    double slope = 0;        // per s
    double slope_heard = 0;  // slope times the moment of the heartbeat
    /// The sum as it would be by now.
    double at(double now) const { return value + slope * now - slope_heard; }
    void add(const Drift& other);
    void subtract(const Drift& other);
  };
  struct CapacityBucket {
    Resources free;  // of each of its machines
    std::vector<Machine*> machines;
    Drift slack;                                  // of all of them together
    Drift heat;                                   // of all of them together
    std::unordered_map<std::string, int> images;  // how many of them hold each
  };
  /// In units of 1e-6, less than what Resources::fits() lets pass. Most accelerators and CPUs first.
  using FreeCapacity = std::array<long long, 3>;
  using CapacityBuckets = std::map<FreeCapacity, CapacityBucket, std::greater<>>;
  struct Pool {
    std::string type;
    std::string zone;
    bool spot = false;
    int reservation_tier = 0;  // see ReservedCapacity
    Resources size;            // of each machine
    CapacityBuckets ready;
    CapacityBuckets suspect;
    /// Machines by the lowest priority of what may be stopped there: arrays and services, gangs apart.
    std::array<std::vector<Machine*>, 4> stoppable;
    MachineSet stopping;  // something there is on its way out
  };
  struct PoolKey {
    std::string type;
    std::string zone;
    bool spot = false;
    int reservation_tier = 0;
    auto operator<=>(const PoolKey&) const = default;
  };

  /// What the index holds of a machine; kept in the machine, written by the index only.
  struct IndexEntry {
    Pool* pool = nullptr;
    CapacityBuckets* buckets = nullptr;  // none: not in any bucket
    CapacityBucket* bucket = nullptr;
    std::size_t position = 0;  // in its bucket
    Drift slack;
    Drift heat;
    MachineCapacity::Use use = MachineCapacity::Use::Out;
    std::string nominated_job;
    double wake_at = kNever;
    Resources counted_free;  // in the totals
    Resources counted_size;
    std::optional<std::size_t> lowest_stoppable;  // its list in `stoppable`: a priority
    std::size_t stoppable_position = 0;           // in that list
  };

  /// Its state, free capacity, heat or images have changed, or it is new. `slack` is the share of it that is
  /// free.
  void update(Machine& machine, const MachineCapacity& state, double slack);
  /// Out of its bucket until the next update: its images must not change while it is in one.
  void take_out(Machine& machine);
  /// The machine is gone.
  void remove(Machine& machine);
  /// What may be stopped on it has changed.
  void note_tasks(Machine& machine);
  /// Machines whose state was to hold until now: each has to be updated.
  std::vector<Machine*> due(double now);

  const std::map<PoolKey, Pool>& pools() const { return pools_; }
  /// Machines nominated for a job, few.
  const MachineSet& nominated_for(const std::string& job) const;
  /// Of machines that take work.
  double free_gpus() const { return free_.gpus; }
  double all_gpus() const { return size_.gpus; }
  double all_cpus() const { return size_.cpus; }

 private:
  /// When a machine's state ceases to hold.
  struct WakeUp {
    double at = 0;
    Machine* machine = nullptr;
    auto operator<=>(const WakeUp&) const = default;
  };
  void enter_pool(Machine& machine);
  void update_wake_up(Machine& machine, double at);
  void update_nomination(Machine& machine, const std::string& job);
  void update_totals(Machine& machine, bool counts);
  void enter_bucket(Machine& machine, CapacityBuckets& buckets);
  void list_stoppable(Machine& machine, std::optional<std::size_t> priority);

  std::map<PoolKey, Pool> pools_;
  std::map<std::string, MachineSet> nominated_;  // by job
  std::set<WakeUp> wake_ups_;
  Resources free_;
  Resources size_;
};

}  // namespace corkmux
