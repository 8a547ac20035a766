// Executes one scale run: starts a stand-in state store and cloud, and as separate processes the deployed
// controllers and hollow workers; submits users' jobs over the real sockets and clock of this machine; opens
// and closes the measurement window, and waits for the jobs to end. The members of ScaleTestRun inject the
// faults, measure and report.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "collector.h"
#include "controller_group.h"
#include "event_merger.h"
#include "fault_injector.h"
#include "hollow_fleet.h"
#include "load_generator.h"
#include "process_sampler.h"
#include "run_folder.h"
#include "run_metrics.h"
#include "run_report.h"
#include "scale_test_plan.h"
#include "users.h"

namespace corkmux::scale_test {

inline constexpr double kProgressInterval = 5;    // s between progress lines
inline constexpr double kDrainCheckInterval = 1;  // s between checks whether all jobs have ended
// s between checks whether a step of the start-up is complete.
inline constexpr double kStartCheckInterval = 0.05;
// s for each step of the start-up: first the state service; then the workers and a leader.
inline constexpr double kStartStepTimeout = 60;
// s from the request to a controller to log its message counts until the log is read.
inline constexpr double kTrafficLogDelay = 0.5;

/// The programs that a run starts.
struct Programs {
  std::string own;                         // path of this program, which also runs the host roles
  std::vector<std::string> own_arguments;  // plan file and overrides, passed to the host roles
  std::string controller;                  // path of the deployed controller program
};

class ScaleTestRun {
 public:
  ScaleTestRun(Loop& loop, ScaleTestPlan plan, Programs programs);
  /// Kills all processes of the run.
  ~ScaleTestRun();
  ScaleTestRun(const ScaleTestRun&) = delete;
  ScaleTestRun& operator=(const ScaleTestRun&) = delete;

  /// Executes the plan and calls `done` at its end. Throws std::runtime_error if a process cannot be started.
  void start(std::function<void()> done);
  /// The report keeps references into the run, which must outlive it.
  RunReport report();

 private:
  /// A step of the start-up: the condition to wait for, and the action that follows.
  struct StartStep {
    std::string what;
    std::function<bool()> reached;
    std::function<void()> next;
    double give_up_at = 0;  // s of run_time()
  };

  std::vector<std::string> role_command(const std::string& role) const;
  std::optional<HostInstructions> on_host_status(const HostStatus& status);
  void on_state_counts(StateCounts counts);
  void on_unexpected_exit(const MeasuredProcess& process);
  /// Polls until the step's condition holds, then calls its `next`; the run fails if the deadline passes
  /// first.
  void wait_for(StartStep step);
  void start_controllers_and_workers();
  void begin_load();
  void open_window();
  void close_window();
  /// Requests the controllers' message counts, gives them time to log the counts, reads these, and calls
  /// `then`.
  void with_traffic(std::function<void()> then);
  void inject(const Fault& fault);
  /// Waits until every job has ended, but at most the plan's drain_s, and finishes the run.
  void drain();
  void finish();
  void note_unsettled();
  /// Keeps the run's folder, with the faults beside the logs of all processes, if an invariant was violated.
  void keep_logs_of_violations();
  void fail(const std::string& why);
  void end();
  void log_progress();
  /// The number of the leading controller, according to the leader's record in the state store.
  std::optional<std::size_t> leader() const { return controllers_.find(state_counts_.leader); }
  std::vector<MeasuredProcess*> processes();
  /// s since the start of the load; 0 before.
  double load_s() const;

  Loop& loop_;
  ScaleTestPlan plan_;
  Programs programs_;
  RunFolder folder_;
  std::mt19937_64 random_;
  RunMetrics metrics_;
  EventMerger merger_;
  simulation::MachineObserver unobserved_;  // the machines are in other processes
  simulation::JobRegistry registry_;
  Collector collector_;
  MeasuredProcess state_service_;
  ControllerGroup controllers_;
  HollowFleet fleet_;
  LoadGenerator load_;
  FaultInjector faults_;
  ProcessSampler sampler_;
  std::unique_ptr<simulation::Users> users_;
  StateCounts state_counts_;  // the latest
  StateCounts state_counts_at_window_open_;
  std::optional<std::size_t> leader_at_window_open_;
  std::optional<std::size_t> leader_at_window_close_;
  // In s of run_time().
  std::optional<double> load_began_at_;
  std::optional<double> window_opened_at_;
  std::optional<double> window_closed_at_;
  bool ended_ = false;
  std::optional<std::string> failure_;
  std::optional<std::string> not_run_;    // why the run proves nothing
  std::optional<std::string> unsettled_;  // what has not ended after the drain
  std::string fault_log_;                 // one line for each injected fault, with the time of day
  std::function<void()> done_;
};

}  // namespace corkmux::scale_test
