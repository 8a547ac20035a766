// Plan of a simulation: cluster, workloads and faults. simulation_plan_parser.h parses it from a file.
#pragma once
#include <string>
#include <vector>

#include "cloud.h"
#include "fault.h"
#include "settings.h"
#include "worker.h"

namespace corkmux::simulation {

/// Jobs of one class and team.
struct Workload {
  JobSpec job_template;    // id, task count and image are drawn for each job
  std::vector<int> tasks;  // task counts, of which one is drawn for each job
  int images = 1;
  double run_s = 0;
  double per_minute = 0;
  double cancel_share = 0;  // share of jobs that their users cancel
  double bad_share = 0;     // share of jobs that fail on every machine
  int at_start = 0;
};

/// Machines of one type and zone, all spot or all on demand.
struct MachineGroup {
  Capacity capacity;
  int initial = 0;
};

struct SimulationPlan {
  std::string name;
  double until_s = 0;
  double jobs_until_s = 0;               // no new jobs from this time on
  double restart_s = 6;                  // until an ended controller is restarted
  double skew_s = 0.005;                 // maximum deviation of wall clocks
  double served = 0.5;                   // minimum share of done jobs of each class and team
  std::vector<std::string> controllers;  // zone of each controller
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<MachineType> types;
  std::vector<MachineGroup> machines;
  std::vector<Workload> workloads;
  Settings site;  // limits, times and objectives, passed to every controller
  WorkerTimes times;
  std::vector<Fault> faults;
};

/// Time, s of simulated time, from which no fault is in force and every controller is restarted.
double faults_end_s(const SimulationPlan& plan);

}  // namespace corkmux::simulation
