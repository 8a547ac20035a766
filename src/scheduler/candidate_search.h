// Machines that a job's next task fits on.
//
// Owns what one scheduling cycle has learned: which requests found no room, which zones are held for gangs,
// and who wants accelerators. It reads the index of free capacity by buckets of equal free capacity, so a
// search costs what there are buckets, however many machines. It never changes a job or a machine.
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

inline constexpr int kBucketsExamined = 64;  // per pool of machines; bounds a decision
/// Work without need of accelerators takes such a machine only while this share of all accelerators stays
/// free.
inline constexpr double kAcceleratorReserve = 0.25;

}  // namespace constants

/// Machines that a task fits on and that are alike to a placement: a bucket less some of its machines, or a
/// single machine.
struct CandidateGroup {
  const CapacityIndex::Pool* pool = nullptr;
  const CapacityIndex::CapacityBucket* bucket = nullptr;  // none: a single machine
  Machine* single = nullptr;
  std::vector<std::size_t> excluded;  // positions in the bucket, rising
  std::size_t machine_count = 0;
  int tasks_per_machine = 0;

  /// One of its machines; `position` is less than machine_count.
  Machine& machine(std::size_t position) const;
};

/// Machines on which something failed lately: only when nothing else fits, or for a gang as good as others.
enum class Suspects { LastResort, Included };

class CandidateSearch {
 public:
  CandidateSearch(ClusterState& state, const MachineReservations& reservations)
      : state_(state), reservations_(reservations) {}

  /// Forgets what the last cycle has learned.
  void begin_cycle();
  /// `wanted`: whether a waiting job could use accelerators now. `users`: the highest priority of jobs that
  /// could use any at all.
  void set_accelerator_demand(bool wanted, std::optional<Priority> users);
  bool accelerators_wanted() const { return accelerators_wanted_; }

  /// Room only shrinks within a cycle: what found none leaves none for the like of it.
  bool known_not_to_fit(const Job& job, double now) const;
  void note_not_fitting(const Job& job, double now);

  /// Until the cycle ends only this job is placed in the zone.
  void hold_zone(const std::string& zone, const std::string& job) { held_zones_[zone] = job; }
  bool is_held(const std::string& zone) const { return held_zones_.contains(zone); }

  /// Machines that the job's next task fits on, of its best class: reserved for it, ordinary, with
  /// accelerators that it does not need, suspect. A gang gets all classes, suspects only if included.
  /// `only_zone`: none, or the one zone to search.
  std::vector<CandidateGroup> find(const Job& job, Suspects suspects, double now,
                                   const std::string* only_zone = nullptr);
  /// Whether the job's tasks may go to machines of the pool.
  bool may_use_pool(const Job& job, const CapacityIndex::Pool& pool) const;
  /// Whether the job's tasks may go there once there is room.
  bool may_use(const Job& job, const Machine& machine, double now) const;

  /// Buckets, pools and machines looked at so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  /// What of a job decides whether it fits.
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
    const std::string* only_zone;  // none: any
    double most_free_gpus;         // machines with more are left to work that needs accelerators
    bool starving;                 // machines are reserved for it
    double now;
  };
  struct Found {
    std::vector<CandidateGroup> reserved;
    std::vector<CandidateGroup> ordinary;
    std::vector<CandidateGroup> with_unneeded_gpus;
    std::vector<CandidateGroup> suspect;
  };
  using PositionsByBucket = std::map<const CapacityIndex::CapacityBucket*, std::vector<std::size_t>>;

  RequestShape shape_of(const Job& job) const;
  /// A job that machines are nominated for sees machines that others do not; nor is one bound to a zone by
  /// its own tasks like the rest.
  static bool has_view_of_its_own(const Job& job, double now);
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
  std::map<RequestShape, int> not_fitting_;        // the fewest tasks at once that found no room
  std::map<std::string, std::string> held_zones_;  // zone -> the job it is held for
  bool accelerators_wanted_ = false;
  std::optional<Priority> accelerator_users_;
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux
