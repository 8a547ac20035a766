// Simulates a whole cluster in one process and in simulated time: real controllers with simulated machines,
// users, state store, cloud and network, all driven by one random seed. Connects the modules of this
// directory, runs a plan and reports the results.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cloud.h"
#include "controller_fleet.h"
#include "event_simulator.h"
#include "fault_injector.h"
#include "history_recorder.h"
#include "invariant_checker.h"
#include "job_arrivals.h"
#include "leader_detector.h"
#include "machine_fleet.h"
#include "progress_sampler.h"
#include "simulation_plan.h"
#include "simulation_report.h"
#include "state_service.h"
#include "users.h"

namespace corkmux::simulation {

inline constexpr double kStateAnswer = 0.004;           // s; usual latency, under 10 ms (the protocol)
inline constexpr double kSlowStateAnswerShare = 0.005;  // share of answers with kSlowStateAnswer
inline constexpr double kSlowStateAnswer = 0.25;        // s; a few hundred ms (the protocol)
inline constexpr double kRecentBoot = 3;  // s since its boot in which a machine counts as recently booted

/// One run of a plan with one seed.
class ClusterSimulation {
 public:
  /// Sets up all components and starts the controllers; no event runs before run(). Only one simulation may
  /// exist at a time.
  ClusterSimulation(SimulationPlan plan, std::uint64_t seed);
  ~ClusterSimulation();
  ClusterSimulation(const ClusterSimulation&) = delete;
  ClusterSimulation& operator=(const ClusterSimulation&) = delete;

  /// Runs the plan to its end.
  void run();

  const InvariantChecker& checker() const { return checker_; }
  const SimulatedNetwork& network() const { return simulator_.network(); }
  /// Whether no invariant is violated and every job class and team is served at least the plan's share.
  bool good() const { return problems().empty(); }
  std::vector<std::string> problems() const { return find_problems(checker_, plan_.served); }
  /// Faults and leader terms, one line each, in order of time.
  const std::vector<std::string>& events() const { return history_.events(); }
  codec::Json report() const;
  std::string report_text() const;

  /// Counts of the situations that a test requires to have occurred.
  struct Occurrences {
    FaultInjector::CancelledJobs cancelled;
    int starts_after_boot = 0;         // on machines up for less than kRecentBoot, while writes were late
    std::size_t heartbeat_copies = 0;  // delivered to all controllers when a new leader's term began
  };
  Occurrences occurrences() const;
  /// Number of leader terms that began.
  int terms() const { return leader_detector_->terms(); }

 private:
  void make_services();
  void make_cluster();
  void make_users();
  void sample_progress();
  void task_placed(const std::string& machine);
  void job_done(const std::string& job);
  double draw_state_latency();
  SimulationSummary summary() const;

  SimulationPlan plan_;
  EventSimulator simulator_;
  InvariantChecker checker_;
  HistoryRecorder history_;
  Host& services_host_;
  Host& users_host_;
  Loop services_loop_;
  Loop users_loop_;
  // Created in this order, each in the runtime of the host that it runs on.
  std::unique_ptr<StateService> state_;
  std::unique_ptr<JobRegistry> registry_;
  std::unique_ptr<Cloud> cloud_;
  std::unique_ptr<ControllerFleet> controllers_;
  std::unique_ptr<LeaderDetector> leader_detector_;
  std::unique_ptr<MachineFleet> machines_;
  std::unique_ptr<Users> users_;
  std::unique_ptr<JobArrivals> arrivals_;
  std::unique_ptr<FaultInjector> faults_;
  std::unique_ptr<ProgressSampler> progress_;
  int starts_after_boot_ = 0;
};

}  // namespace corkmux::simulation
