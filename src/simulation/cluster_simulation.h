// A whole cluster in one process and in stepped time: real controllers, and around them machines, users, a
// state service, a cloud and a network, from one seed. Joins the modules of this folder, plays a plan and
// reports on it.
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

inline constexpr double kStateAnswer = 0.004;           // s an answer takes, usually under 10 ms (PROTOCOL)
inline constexpr double kSlowStateAnswerShare = 0.005;  // of answers that take longer
inline constexpr double kSlowStateAnswer = 0.25;        // s; a few hundred ms (PROTOCOL)
inline constexpr double kRecentBoot = 3;                // s since it is up; a machine's first seconds

class ClusterSimulation {
 public:
  /// Everything is set up and the controllers are started; nothing has run yet. One simulation at a time.
  ClusterSimulation(SimulationPlan plan, std::uint64_t seed);
  ~ClusterSimulation();
  ClusterSimulation(const ClusterSimulation&) = delete;
  ClusterSimulation& operator=(const ClusterSimulation&) = delete;

  /// Plays the plan to its end.
  void run();

  const InvariantChecker& checker() const { return checker_; }
  const SimulatedNetwork& network() const { return simulator_.network(); }
  /// The rules hold, and every class and team is served by at least the plan's share.
  bool good() const { return problems().empty(); }
  std::vector<std::string> problems() const { return find_problems(checker_, plan_.served); }
  /// What happened, a line each, in order of time: faults and terms.
  const std::vector<std::string>& events() const { return history_.events(); }
  codec::Json report() const;
  std::string report_text() const;

  /// How often it came to what a test wants to have happened.
  struct Occurrences {
    FaultInjector::CancelledJobs cancelled;
    int starts_after_boot = 0;         // on machines up for a few seconds, while writes were late
    std::size_t heartbeat_copies = 0;  // that reached all controllers as a new leader began
  };
  Occurrences occurrences() const;
  /// Leaders that began.
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
  // Made in this order, in the runtime of the host that they run on.
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
