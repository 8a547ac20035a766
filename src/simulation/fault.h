// Faults of a simulation: their kinds, the names and fields of each kind in a plan file, and one fault with
// its parameters. docs/simulation.md describes the effect of each kind.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "simulated_network.h"

namespace corkmux::simulation {

/// Sorted by name in plan files. Random faults are drawn by position, so the order determines what a seed
/// draws.
enum class FaultKind {
  StateAnswersLost,      // "answers_lost"
  FanInBatchesRepeated,  // "batches_again"
  CancelAtJobEnd,        // "cancel_at_end"
  CancelRunningJobs,     // "cancel_now"
  ConcurrentReads,       // "close_looks"
  CloudOutage,           // "cloud_outage"
  JobBurst,              // "job_burst"
  FanInBatchesLate,      // "late_batches"
  CommandsRepeated,      // "late_orders"
  HeartbeatsRepeated,    // "late_reports"
  WritesLate,            // "late_writes"
  MachinePartition,      // "machine_cut"
  MachineMessagesLost,   // "machine_deaf"
  MachineDeath,          // "machine_die"
  MachineHang,           // "machine_hang"
  MachineRequestsLost,   // "machine_mute"
  MachineFaulty,         // "machine_sick"
  ControllerCrash,       // "node_crash"
  ControllerPartition,   // "node_cut"
  ControllerPowerOff,    // "node_down"
  ControllerStall,       // "node_freeze"
  RollingRestart,        // "node_roll"
  ControllerSlowLinks,   // "node_slow"
  InvalidRequests,       // "odd_requests"
  PeersRefuse,           // "peers_refuse"
  PollStorm,             // "poll_storm"
  SpotReclaim,           // "spot_taken"
  StateLimits,           // "state_limits"
  StateOutage,           // "state_outage"
  StateRefusal,          // "state_refuses"
  StateSlow,             // "state_slow"
  ZoneIsolation,         // "zone_cut"
  ZonePartition          // "zone_partition"
};

/// Name and fields of a fault kind in a plan file.
struct FaultKindDescription {
  FaultKind kind;
  std::string name;
  std::vector<std::string> fields;  // allowed besides at_s and kind
};

/// All kinds, indexed by the value of FaultKind.
const std::vector<FaultKindDescription>& fault_kinds();
const FaultKindDescription& describe(FaultKind kind);
/// Returns no value if no kind has that name.
std::optional<FaultKind> fault_kind_named(std::string_view name);
bool has_field(FaultKind kind, std::string_view field);

inline constexpr double kDefaultRepeatInterval = 15;  // s, default of `every_s`

/// One fault. Fields that its kind does not use keep their defaults.
struct Fault {
  FaultKind kind = FaultKind::ControllerCrash;
  double at_s = 0;
  double for_s = 0;
  double every_s = kDefaultRepeatInterval;
  int times = 1;
  // Which controllers, machines, messages or jobs are affected:
  int count = 1;
  bool busiest = false;  // selects leaders first
  double share = 0;      // of machines; 0: `count` applies
  std::string zone;      // empty: all
  std::vector<std::string> zones;
  std::string job_class;  // empty: all
  std::string team;       // empty: all
  // Partitions only:
  PartitionMode mode = PartitionMode::Hold;
  bool one_way = false;
  bool from_state = false;  // if none of the three is set: from all hosts
  bool from_workers = false;
  bool from_peers = false;
  // Parameters of single kinds:
  double factor = 1;
  double notice_s = 0;              // 0: spot machines are reclaimed without notice
  std::optional<double> back_s;     // empty: the plan's restart_s
  std::optional<double> hang_s;     // hang of machines with cancelled jobs; empty: none
  std::optional<double> value_kb;   // empty: the limit is unchanged
  std::optional<double> write_rps;  // empty: the limit is unchanged
  std::optional<int> txn_ops;       // empty: the limit is unchanged
  bool at_once = false;             // late writes: executed on time, but the response is lost
  bool for_next = false;            // repeated heartbeats: copies are held until the next leader
};

/// Formats the fault as a line of a plan file.
std::string fault_to_toml(const Fault& fault);

/// Convert between a partition mode and its name in plan files; an unknown name returns no value.
const char* partition_mode_name(PartitionMode mode);
std::optional<PartitionMode> partition_mode_named(std::string_view name);

}  // namespace corkmux::simulation
