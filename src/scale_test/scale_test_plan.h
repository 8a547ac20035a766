// What a scale run consists of: the fleet's size, the mix of jobs, the limits of the state store, of the
// cloud and of a controller, and the faults. And what follows from these: zones, machine types, quotas. Plain
// data; read from its file by scale_test_plan_parser.h.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "settings.h"
#include "worker.h"

namespace corkmux::scale_test {

inline constexpr Resources kPlainSize{32, 0, 128};        // a machine without accelerators
inline constexpr Resources kAcceleratedSize{32, 8, 256};  // and one with
inline constexpr double kUrgentWithin =
    1.2;                                  // s from submission to running, the operators' aim for urgent jobs
inline constexpr double kQuotaSlack = 3;  // times a team's fair share that is its limit
inline constexpr double kGuaranteedShare = 0.9;  // of a team's fair share

/// Jobs of one class.
struct JobClass {
  std::string name;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  std::vector<int> tasks;   // sizes, each as likely as the others
  double share = 0;         // of all task starts, relative to the other classes' shares
  double accelerators = 0;  // of each task

  double mean_tasks() const;
};

/// One fault of the run.
struct Fault {
  enum class Kind { LeaderKilled, FollowerKilled, WorkersGone, RackRestarted, ControllersRestarted };

  double at_s = 0;  // since the load began
  Kind kind = Kind::LeaderKilled;
  int count = 1;  // of machines

  /// As plan files and reports spell it.
  static const char* name(Kind kind);
};

struct ScaleTestPlan {
  std::string name;
  std::uint64_t seed = 1;
  int workers = 0;
  int zones = 1;
  int single_workers = 0;  // of the workers; each has a zone and a process of its own
  int teams = 1;
  int controllers = 3;
  double accelerators = 0;  // of all workers together
  double starts_per_s = 0;  // of tasks
  double run_s = 0;         // of a task
  double task_cpus = 1;     // of each task
  double warm_s = 0;        // of load before the measurement window opens
  double for_s = 0;         // of load; its end closes the window
  double drain_s = 0;       // after the load, for the jobs to end
  double cancel_share = 0;  // of the jobs
  double image_gb = 0;
  double fetch_gb_per_s = 1;
  int images = 1;  // of each class
  // Limits of a controller, as its settings name them.
  double fd_limit = 0;
  double mem_mb = 0;
  double cpu_share = 0;
  std::vector<JobClass> classes;
  std::vector<Fault> faults;
  Settings site;  // times and limits of workers, state store and cloud
  simulation::WorkerTimes times;

  double running_tasks() const { return starts_per_s * run_s; }
  double jobs_per_s() const;
  /// Names of the zones; those of single workers come last.
  std::vector<std::string> zone_names() const;
  std::vector<MachineType> types() const;
  /// How many machines of a type a zone has at the start.
  int machines_in(std::size_t zone, const std::string& type) const;
  std::vector<Team> team_list() const;
  /// The largest count of workers that one process hosts.
  int most_workers_in_zone() const;
  /// Every array has so many tasks; as many tasks start as before.
  void resize_arrays(int tasks);
  /// Drops sizes of gangs that would need more than half of a zone, which a smaller fleet cannot hold; the
  /// smallest size of a class stays. Returns a line for a reader about each.
  std::vector<std::string> drop_gangs_that_do_not_fit();

 private:
  /// Machines of the zone if `machines` are spread over the shared zones; the first zones get one more.
  int share_of_zone(std::size_t zone, int machines) const;
};

}  // namespace corkmux::scale_test
