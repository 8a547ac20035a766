// What can go wrong in a simulation: the kinds of faults, their names and fields in a plan's file, and one
// fault with its parameters. docs/simulation.md says what each kind does.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "simulated_network.h"

namespace corkmux::simulation {

/// In the order of their names in plans; random faults are drawn by position.
enum class FaultKind {
  StateAnswersLost,        // "answers_lost"
  FanInBatchesRepeated,    // "batches_again"
  CancelAtJobEnd,          // "cancel_at_end"
  CancelRunningJobs,       // "cancel_now"
  ConcurrentReads,         // "close_looks"
  CloudOutage,             // "cloud_outage"
  JobBurst,                // "job_burst"
  FanInBatchesLate,        // "late_batches"
  CommandsRepeated,        // "late_orders"
  HeartbeatsRepeated,      // "late_reports"
  WritesLate,              // "late_writes"
  MachinePartition,        // "machine_cut"
  MachineReceivesNothing,  // "machine_deaf"
  MachineDeath,            // "machine_die"
  MachineHang,             // "machine_hang"
  MachineReachesNobody,    // "machine_mute"
  MachineFaulty,           // "machine_sick"
  ControllerCrash,         // "node_crash"
  ControllerPartition,     // "node_cut"
  ControllerPowerOff,      // "node_down"
  ControllerStall,         // "node_freeze"
  RollingRestart,          // "node_roll"
  ControllerSlowLinks,     // "node_slow"
  InvalidRequests,         // "odd_requests"
  PeersRefuse,             // "peers_refuse"
  PollStorm,               // "poll_storm"
  SpotReclaim,             // "spot_taken"
  StateLimits,             // "state_limits"
  StateOutage,             // "state_outage"
  StateRefusal,            // "state_refuses"
  StateSlow,               // "state_slow"
  ZoneIsolation,           // "zone_cut"
  ZonePartition            // "zone_partition"
};

/// What a plan's file says of a kind.
struct FaultKindDescription {
  FaultKind kind;
  std::string name;
  std::vector<std::string> fields;  // that such a fault may have, besides at_s and kind
};

/// By position, which is the kind's value.
const std::vector<FaultKindDescription>& fault_kinds();
const FaultKindDescription& describe(FaultKind kind);
/// None: no kind has that name.
std::optional<FaultKind> fault_kind_named(std::string_view name);
bool has_field(FaultKind kind, std::string_view field);

inline constexpr double kDefaultRepeatInterval = 15;  // s, `every_s` of a fault that does not say

/// One fault. What a kind does not use stays as it is here.
struct Fault {
  FaultKind kind = FaultKind::ControllerCrash;
  double at_s = 0;
  double for_s = 0;
  double every_s = kDefaultRepeatInterval;
  int times = 1;
  // What it concerns:
  int count = 1;
  bool busiest = false;  // leaders first
  double share = 0;      // 0 of machines: as `count` says
  std::string zone;      // empty: all
  std::vector<std::string> zones;
  std::string job_class;  // empty: all
  std::string team;       // empty: all
  // Of a partition:
  PartitionMode mode = PartitionMode::Hold;
  bool one_way = false;
  bool from_state = false;  // none of the three: from everybody
  bool from_workers = false;
  bool from_peers = false;
  // The rest:
  double factor = 1;
  double notice_s = 0;              // 0: a spot machine is taken without notice
  std::optional<double> back_s;     // none: the plan's restart_s
  std::optional<double> hang_s;     // of machines of the cancelled jobs; none: none hangs
  std::optional<double> value_kb;   // none: the limit stays
  std::optional<double> write_rps;  // none: the limit stays
  std::optional<int> txn_ops;       // none: the limit stays
  bool at_once = false;             // late writes: executed on time, and only the answer is lost
  bool for_next = false;            // repeated heartbeats: copies wait for the next leader
};

/// A line of a plan's file for that fault.
std::string fault_to_toml(const Fault& fault);

/// The name of a partition mode in a plan's file, and back; none: no mode has that name.
const char* partition_mode_name(PartitionMode mode);
std::optional<PartitionMode> partition_mode_named(std::string_view name);

}  // namespace corkmux::simulation
