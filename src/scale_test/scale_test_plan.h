// The plan of a scale run: the fleet's size, the mix of jobs, the limits of the state store, of the cloud and
// of a controller, and the faults; and the zones, machine types and quotas that follow from them. Plain data;
// scale_test_plan_parser.h reads it from a file.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "settings.h"
#include "worker.h"

namespace corkmux::scale_test {

inline constexpr Resources kPlainSize{32, 0, 128};        // a machine without accelerators
inline constexpr Resources kAcceleratedSize{32, 8, 256};  // a machine with accelerators
// s from submission to running: the operators' objective for urgent jobs.
inline constexpr double kUrgentWaitObjective = 1.2;
inline constexpr double kQuotaSlack = 3;         // a team's limit as a multiple of its fair share
inline constexpr double kGuaranteedShare = 0.9;  // share of a team's fair share that is guaranteed

/// The jobs of one class.
struct JobClass {
  std::string name;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  std::vector<int> tasks;   // sizes of a job, all equally likely
  double share = 0;         // of all task starts, relative to the other classes' shares
  double accelerators = 0;  // of each task

  double mean_tasks() const;
};

inline constexpr double kRestartDelay = 3;  // s from the kill of a controller to its restart, by default

/// One fault of the run.
struct Fault {
  enum class Kind {
    LeaderKilled,
    FollowerKilled,
    WorkersGone,
    RackRestarted,
    ControllersRestarted,
    LeaderPaused,  // the process is stopped (SIGSTOP) while its clocks run on
    FollowerPaused,
    StateServicePaused,  // requests are held back and executed late
    WorkersPaused        // all workers of one zone
  };

  double at_s = 0;  // since the start of the load
  Kind kind = Kind::LeaderKilled;
  int count = 1;                  // number of machines
  double for_s = 0;               // of a pause
  double back_s = kRestartDelay;  // from the kill of a controller to its restart

  /// The name of the kind in plan files and reports.
  static const char* name(Kind kind);
};

struct ScaleTestPlan {
  std::string name;
  std::uint64_t seed = 1;
  int workers = 0;
  int zones = 1;
  int single_workers = 0;  // among the workers; each has its own zone and process
  int teams = 1;
  int controllers = 3;
  double accelerators = 0;   // of all workers together
  double starts_per_s = 0;   // of tasks
  double run_s = 0;          // of a task
  double task_cpus = 1;      // of each task
  double warm_s = 0;         // duration of the load before the measurement window opens
  double for_s = 0;          // duration of the load; the window closes at its end
  double drain_s = 0;        // longest wait after the load for the jobs to end
  double cancel_share = 0;   // of the jobs
  bool must_settle = false;  // jobs that have not ended drain_s after the load are a problem
  double image_gb = 0;
  double fetch_gb_per_s = 1;
  int images = 1;  // of each class
  // Limits of a controller, with the names that its settings use.
  double fd_limit = 0;
  double mem_mb = 0;
  double cpu_share = 0;
  std::vector<JobClass> classes;
  std::vector<Fault> faults;
  Settings site;  // times and limits of workers, state store and cloud
  simulation::WorkerTimes times;

  double running_tasks() const { return starts_per_s * run_s; }
  double jobs_per_s() const;
  /// Names of the zones; the zones of single workers come last.
  std::vector<std::string> zone_names() const;
  std::vector<MachineType> types() const;
  /// The number of machines of a type that a zone has at the start.
  int machines_in(std::size_t zone, const std::string& type) const;
  std::vector<Team> team_list() const;
  /// The largest number of workers that one process hosts.
  int max_workers_in_zone() const;
  /// Sets the size of every array to `tasks`; the rate of task starts stays the same.
  void resize_arrays(int tasks);
  /// Drops gang sizes that need more than half of a zone, which a smaller fleet cannot place; the smallest
  /// size of a class stays. Returns one message per size that does not fit.
  std::vector<std::string> drop_gangs_that_do_not_fit();

 private:
  /// The number of machines of the zone if `machines` are spread over the shared zones; the first zones get
  /// the remainder, one machine each.
  int share_of_zone(std::size_t zone, int machines) const;
};

}  // namespace corkmux::scale_test
