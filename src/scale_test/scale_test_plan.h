// What a scale run is made of, as its TOML file says: counts of the fleet, the mix of jobs, the limits of the
// outside services and of a controller, and the faults.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "settings.h"
#include "worker.h"

namespace corkmux::scale_test {

/// Jobs of one class; which share of all tasks is theirs.
struct JobClass {
  std::string name;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  std::vector<int> tasks;  // sizes, drawn alike
  double share = 0;        // of all task starts
  double accelerators = 0;
  double mean_tasks() const;
};

/// One fault of the run.
struct Fault {
  enum class Kind { LeaderKilled, FollowerKilled, WorkersGone, RackRestarted, ControllersRestarted };
  double at_s = 0;
  Kind kind = Kind::LeaderKilled;
  int count = 1;  // of machines
  static const char* name(Kind kind);
};

struct ScaleTestPlan {
  std::string name;
  std::uint64_t seed = 1;
  int workers = 0, zones = 1, single_workers = 0, teams = 1, controllers = 3;
  double accelerators = 0;             // of all workers together
  double starts_per_s = 0, run_s = 0;  // of tasks
  double task_cpus = 1;                // of each task
  double warm_s = 0, for_s = 0, drain_s = 0;
  double cancel_share = 0;
  double image_gb = 0, fetch_gb_per_s = 1;
  int images = 1;
  double fd_limit = 0, mem_mb = 0, cpu_share = 0;  // of a controller, as its settings name them
  std::vector<JobClass> classes;
  std::vector<Fault> faults;
  Settings site;  // times and limits of workers, state service and cloud
  simulation::WorkerTimes times;

  double running_tasks() const { return starts_per_s * run_s; }
  double jobs_per_s() const;
  /// Names of the zones; those of single workers, who have a process each, come last.
  std::vector<std::string> zone_names() const;
  std::vector<MachineType> types() const;
  /// How many machines of a type a zone has at the start.
  int machines_in(std::size_t zone, const std::string& type) const;
  std::vector<Team> team_list() const;
  /// The largest count of workers that one process hosts.
  int most_workers_in_zone() const;
  /// Every array has so many tasks; as many tasks start as before.
  void resize_arrays(int tasks);
  /// Takes out sizes of gangs that would need more than half of a zone, which a smaller fleet cannot hold;
  /// what is said of each.
  std::vector<std::string> drop_gangs_that_do_not_fit();
};

/// Throws SettingsError, which names the file and the field.
ScaleTestPlan parse_scale_plan(const std::string& text, const std::string& file);
ScaleTestPlan load_scale_plan(const std::string& file);
/// Why this machine cannot take the run within its limits; empty if it can.
std::string refusal(const ScaleTestPlan& plan);
/// The settings file of one controller, in the platform's form.
std::string controller_settings(const ScaleTestPlan& plan, std::size_t controller,
                                const std::vector<std::string>& user_addresses,
                                const std::vector<std::string>& peer_addresses, const std::string& state,
                                const std::string& cloud);

}  // namespace corkmux::scale_test
