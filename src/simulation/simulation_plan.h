// What a simulation is made of, and what goes wrong in it, as its TOML file says (docs/simulation.md).
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cloud.h"
#include "settings.h"
#include "worker.h"

namespace corkmux::simulation {

/// One fault. What a kind does not use stays as it is here.
struct Fault {
  double at_s = 0, for_s = 0, every_s = 0;
  std::string kind, zone, mode = "hold", job_class, team;
  std::vector<std::string> zones;
  int count = 1, txn_ops = 0, times = 1;
  bool busiest = false, from_state = false, from_workers = false, from_peers = false, one_way = false;
  double share = 0, factor = 1, notice_s = 0, value_kb = 0, write_rps = 0;
  double back_s = 0;  // 0: as the plan says
  double hang_s = 0;  // of machines of the jobs that are called off
  bool at_once = false, for_next = false;
};
const std::vector<std::string>& fault_kinds();
/// The fields that such a fault may have.
const std::vector<std::string>& fault_fields(const std::string& kind);

/// Jobs of one class and team.
struct Workload {
  JobSpec job_template;  // id, tasks and image are drawn for each
  std::vector<int> tasks;
  int images = 1;
  double run_s = 0, per_minute = 0, cancel_share = 0, bad_share = 0;
  int at_start = 0;
};

struct Machines {
  Capacity where;
  int initial = 0;
};

struct SimulationPlan {
  std::string name;
  double until_s = 0, jobs_until_s = 0, restart_s = 6, skew_s = 0.005, served = 0.5;
  std::vector<std::string> controllers;  // the zone of each
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<MachineType> types;
  std::vector<Machines> machines;
  std::vector<Workload> workloads;
  Settings site;  // limits, times and aims that every controller gets
  WorkerTimes times;
  std::vector<Fault> faults;
};

/// The file's cluster with the faults of one of its scenarios; the first when no name is given. Throws
/// SettingsError.
SimulationPlan parse_plan(const std::string& text, const std::string& file, const std::string& scenario = "");
SimulationPlan load_plan(const std::string& file, const std::string& scenario = "");
std::vector<std::string> scenario_names(const std::string& file);
/// A line of the file for that fault.
std::string fault_to_toml(const Fault& fault);
/// So many faults drawn for that cluster, all over when its last third begins.
std::vector<Fault> draw_faults(const SimulationPlan& plan, int count, std::uint64_t seed);

}  // namespace corkmux::simulation
