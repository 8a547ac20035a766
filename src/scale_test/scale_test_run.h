// The course of one scale run: starts a stand-in state store and cloud, deployed controllers and hollow
// workers as processes of their own, loads them with users' jobs on the sockets and the clock of this
// machine, opens and closes the measurement window, and waits for the jobs to end. Which faults come, what is
// measured and what is reported is its members' matter.
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

inline constexpr double kProgressEvery = 5;       // s between lines of progress
inline constexpr double kDrainCheckEvery = 1;     // s between looks whether all jobs have ended
inline constexpr double kStartCheckEvery = 0.05;  // s between looks whether all processes are up
inline constexpr double kUpPatience = 60;         // s until hosts, controllers and workers are up
inline constexpr double kTrafficPatience = 0.5;   // s a controller has to log what it was asked for

/// The programs that a run starts.
struct Programs {
  std::string own;                         // this program, for its other roles
  std::vector<std::string> own_arguments;  // the plan's file and what replaces parts of it, for these roles
  std::string controller;                  // the deployed program
};

class ScaleTestRun {
 public:
  ScaleTestRun(Loop& loop, ScaleTestPlan plan, Programs programs);
  /// Ends all processes of the run.
  ~ScaleTestRun();
  ScaleTestRun(const ScaleTestRun&) = delete;
  ScaleTestRun& operator=(const ScaleTestRun&) = delete;

  /// Plays the plan; `done` when it is over. Throws std::runtime_error if something cannot be started.
  void start(std::function<void()> done);
  /// Refers to the run.
  RunReport report();

 private:
  /// What the start waits for, and what comes then.
  struct StartStep {
    std::string what;
    std::function<bool()> reached;
    std::function<void()> next;
    double give_up_at = 0;  // s of run_time()
  };

  std::vector<std::string> role_command(const std::string& role) const;
  std::optional<HostInstructions> on_host_status(const HostStatus& status);
  void on_state_counts(StateCounts counts);
  void on_process_ended(const MeasuredProcess& process);
  /// The run fails if the step is not reached in time.
  void wait_for(StartStep step);
  void start_controllers_and_workers();
  void begin_load();
  void open_window();
  void close_window();
  /// Calls back once the controllers have had time to log their counts of messages, with these read.
  void with_traffic(std::function<void()> then);
  void inject(const Fault& fault);
  /// Waits until every job is over, or the plan's patience is.
  void drain();
  void finish();
  void fail(const std::string& why);
  void end();
  void log_progress();
  /// Number of the controller that leads, by the leader's record in the state store.
  std::optional<std::size_t> leader() const { return controllers_.find(state_counts_.leader); }
  std::vector<MeasuredProcess*> processes();
  /// s since the load began; 0 before.
  double load_s() const;

  Loop& loop_;
  ScaleTestPlan plan_;
  Programs programs_;
  RunFolder folder_;
  std::mt19937_64 random_;
  RunMetrics metrics_;
  EventMerger merger_;
  simulation::MachineObserver unobserved_;  // machines are in other processes
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
  // s of run_time()
  std::optional<double> load_began_at_;
  std::optional<double> window_opened_at_;
  std::optional<double> window_closed_at_;
  bool over_ = false;
  std::optional<std::string> failure_;
  std::function<void()> done_;
};

}  // namespace corkmux::scale_test
