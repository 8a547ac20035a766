// Injects the faults of a plan, with one handler for each kind that docs/simulation.md names. Owns the state
// that faults keep; the components that faults act on belong to the simulation.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud.h"
#include "controller_fleet.h"
#include "history_recorder.h"
#include "invariant_checker.h"
#include "job_arrivals.h"
#include "leader_detector.h"
#include "machine_fleet.h"
#include "simulation_plan.h"
#include "state_service.h"
#include "time_constants.h"
#include "users.h"

namespace corkmux::simulation {

// Delays of late messages, the same as on the operators' test bench.
inline constexpr double kMinDeliveryDelay = 2;               // s
inline constexpr double kMaxControllerMessageDelay = 12;     // s
inline constexpr double kMaxWorkerMessageDelayLeases = 1.5;  // leases

inline constexpr std::size_t kMaxHangingMachines = 8;  // limit of machines that one cancel_now makes hang
inline constexpr double kSlowLinkFactor = 10;          // multiplies a plan's factor of slow links
inline constexpr double kQuotaLimitMargin = 0.05;      // share of a limit; a team this close to it is at it

class FaultInjector {
 public:
  /// The components that faults act on. All must outlive the injector.
  struct Targets {
    const SimulationPlan& plan;
    EventSimulator& simulator;
    Host& services_host;
    StateService& state;
    Cloud& cloud;
    ControllerFleet& controllers;
    MachineFleet& machines;
    Host& users_host;
    Users& users;
    JobArrivals& arrivals;
    JobRegistry& registry;
    const InvariantChecker& checker;
    LeaderDetector& leader_detector;
    HistoryRecorder& history;
  };
  explicit FaultInjector(Targets targets) : targets_(targets) {}

  /// Schedules every fault of the plan at its time.
  void schedule_plan();

  /// Counts of jobs cancelled by cancel_now.
  struct CancelledJobs {
    int all = 0;
    int on_unreachable = 0;  // with a task on a partitioned or hanging machine
    int at_quota_limit = 0;  // of on_unreachable: whose team is close to a limit
  };
  const CancelledJobs& cancelled_jobs() const { return cancelled_; }
  bool writes_are_late() const { return targets_.simulator.now() < writes_late_until_; }

 private:
  using Handler = void (FaultInjector::*)(const Fault&);
  static const std::map<FaultKind, Handler>& handlers();
  void begin(const Fault& fault);
  /// In seconds of simulated time.
  double end_of(const Fault& fault) const { return targets_.simulator.now() + fault.for_s; }
  double restart_delay(const Fault& fault) const { return fault.back_s.value_or(targets_.plan.restart_s); }

  void crash_controllers(const Fault& fault);
  void power_off_controllers(const Fault& fault);
  void stall_controllers(const Fault& fault);
  void restart_all_controllers(const Fault& fault);
  void partition_controllers(const Fault& fault);
  void slow_links_of_controllers(const Fault& fault);
  void refuse_between_peers(const Fault& fault);

  void stop_state_service(const Fault& fault);
  void refuse_at_state_service(const Fault& fault);
  void lower_state_limits(const Fault& fault);
  void lose_state_answers(const Fault& fault);
  void slow_links_to_state_service(const Fault& fault);
  void stop_cloud(const Fault& fault);

  void isolate_zone(const Fault& fault);
  void partition_zones(const Fault& fault);

  void terminate_machines(const Fault& fault);
  void hang_machines(const Fault& fault);
  void partition_machines(const Fault& fault);
  void make_machines_faulty(const Fault& fault);
  void lose_messages_to_machines(const Fault& fault);
  void lose_requests_of_machines(const Fault& fault);
  void reclaim_spot_machines(const Fault& fault);

  void delay_writes(const Fault& fault);
  void repeat_heartbeats(const Fault& fault);
  void repeat_commands(const Fault& fault);
  void delay_fanin_batches(const Fault& fault);
  void repeat_fanin_batches(const Fault& fault);

  void burst_jobs(const Fault& fault);
  void increase_poll_rate(const Fault& fault);
  void cancel_running_jobs(const Fault& fault);
  void cancel_jobs_at_end(const Fault& fault);
  void read_concurrently(const Fault& fault);
  void send_invalid_requests(const Fault& fault);

  /// Number of machines affected: the fault's `count`, or its `share` of the machines in the zone.
  int machine_count(const Fault& fault, bool spot_only) const;
  std::set<const Host*> draw_machine_hosts(const Fault& fault);
  void partition(const Fault& fault, PartitionMode mode, SimulatedNetwork::HostPair from_to);
  void delay_fanin_messages(const Fault& fault, SimulatedNetwork::DelayedDelivery::Mode mode);
  void delay_deliveries(const Fault& fault, SimulatedNetwork::HostPair between, std::string path,
                        SimulatedNetwork::DelayedDelivery::Mode mode, double max_delay_s);
  double max_worker_message_delay() const;  // s
  /// Hangs at most kMaxHangingMachines of these machines.
  void hang_some(const std::vector<std::string>& machines, double for_s);
  void count_cancelled(const std::string& job, const std::vector<std::string>& machines);
  bool at_quota_limit(const std::string& team_name) const;

  Targets targets_;
  CancelledJobs cancelled_;
  double writes_late_until_ = kLongAgo;  // s of simulated time
};

}  // namespace corkmux::simulation
