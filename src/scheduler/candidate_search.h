// Finds the machines that a job's next task fits on.
//
// Owns the findings of one scheduling cycle: which request shapes did not fit, which zones are held for
// gangs, and which priorities want accelerators. It reads the capacity index by buckets of equal free
// capacity, so the cost of a search grows with the number of buckets, not of machines. It never changes a job
// or a machine.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "capacity_index.h"
#include "cluster_state.h"
#include "machine_reservations.h"

namespace corkmux {
namespace constants {

inline constexpr int kBucketsExamined = 64;  // per pool; bounds the cost of a search
/// Share of all accelerators that stays free when work without need of accelerators takes such a machine.
inline constexpr double kAcceleratorReserve = 0.25;

}  // namespace constants

/// Machines that a task fits on and that are equivalent for placement: a bucket without its excluded
/// machines, or a single machine.
struct CandidateGroup {
  const CapacityIndex::Pool* pool = nullptr;
  const CapacityIndex::CapacityBucket* bucket = nullptr;  // none: a single machine
  Machine* single = nullptr;
  std::vector<std::size_t> excluded;  // positions in the bucket, ascending
  std::size_t machine_count = 0;
  int tasks_per_machine = 0;

  /// Returns one of the machines; `position` must be less than machine_count.
  Machine& machine(std::size_t position) const;
};

/// How machines with recent failures are used: only when nothing else fits, or (for gangs) like any other.
enum class Suspects { LastResort, Included };

class CandidateSearch {
 public:
  CandidateSearch(ClusterState& state, const MachineReservations& reservations)
      : state_(state), reservations_(reservations) {}

  /// Discards the findings of the previous cycle.
  void begin_cycle();
  /// `wanted`: whether a waiting job could use accelerators now. `users`: the highest priority of the jobs
  /// that can use accelerators, empty if there are none.
  void set_accelerator_demand(bool wanted, std::optional<Priority> users);
  bool accelerators_wanted() const { return accelerators_wanted_; }

  /// Whether a job of the same shape was noted as not fitting in this cycle. Free capacity only shrinks
  /// within a cycle, so the job cannot fit either.
  bool known_not_to_fit(const Job& job, double now) const;
  void note_not_fitting(const Job& job, double now);

  /// Reserves the zone for the job: until the cycle ends, only this job is placed in it.
  void hold_zone(const std::string& zone, const std::string& job) { held_zones_[zone] = job; }
  bool is_held(const std::string& zone) const { return held_zones_.contains(zone); }

  /// Returns the machines that the job's next task fits on, from the best class that has any: reserved for
  /// it, ordinary, with accelerators that it does not need, suspect. A gang gets all classes, suspects only
  /// if included.
  std::vector<CandidateGroup> find(const Job& job, Suspects suspects, double now);
  /// The same in one zone only, for the next `tasks` tasks of a gang.
  std::vector<CandidateGroup> find_in_zone(const Job& job, Suspects suspects, double now,
                                           const std::string& zone, int tasks);
  /// Whether the job's tasks may run on machines of the pool.
  bool may_use_pool(const Job& job, const CapacityIndex::Pool& pool) const;
  /// Whether the job's tasks may run on the machine once it has enough free capacity.
  bool may_use(const Job& job, const Machine& machine, double now) const;

  /// Buckets, pools and machines examined so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  /// The properties of a job that decide whether it fits.
  struct RequestShape {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    bool one_zone = false;
    bool spread = false;
    bool spot = false;
    bool gang = false;
    Priority priority = Priority::Low;
    std::string zone;
    std::vector<std::string> types;
    bool starving = false;
    auto operator<=>(const RequestShape&) const = default;
  };
  struct Query {
    const Job& job;
    const std::string* only_zone;  // null: all zones
    int tasks;                     // that are placed at once
    double most_free_gpus;         // machines with more are left to work that needs accelerators
    bool starving;                 // machines are reserved for the job
    double now;
  };
  struct Found {
    std::vector<CandidateGroup> reserved;
    std::vector<CandidateGroup> ordinary;
    std::vector<CandidateGroup> with_unneeded_gpus;
    std::vector<CandidateGroup> suspect;
  };
  using PositionsByBucket = std::map<const CapacityIndex::CapacityBucket*, std::vector<std::size_t>>;

  static const std::string* zone_bound_to(const Job& job);
  std::vector<CandidateGroup> find(const Query& query, Suspects suspects);
  RequestShape shape_of(const Job& job) const;
  /// Whether the job's candidates differ from those of other jobs of its shape: machines may be nominated for
  /// it, or its running tasks bind it to a zone.
  static bool has_individual_candidates(const Job& job, double now);
  double most_free_gpus(const Job& job) const;
  bool zone_closed(const Query& query, const std::string& zone) const;
  bool pool_open(const Query& query, const CapacityIndex::Pool& pool) const;
  PositionsByBucket add_failed_machines(const Query& query, Found& found);
  void add_pool(const Query& query, const CapacityIndex::Pool& pool, const PositionsByBucket& failed,
                Found& found);
  void add_buckets(const Query& query, const CapacityIndex::Pool& pool,
                   const CapacityIndex::CapacityBuckets& buckets, const PositionsByBucket& excluded,
                   std::vector<CandidateGroup>& groups);
  void add_nominated_machines(const Query& query, Found& found);
  void add_machine(const Query& query, Machine& machine, std::vector<CandidateGroup>& groups);

  ClusterState& state_;
  const MachineReservations& reservations_;
  std::map<RequestShape, int> not_fitting_;        // value: the fewest tasks at once that did not fit
  std::map<std::string, std::string> held_zones_;  // zone -> the job it is held for
  bool accelerators_wanted_ = false;
  std::optional<Priority> accelerator_users_;
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux
