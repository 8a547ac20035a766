// What a simulation is made of, and what goes wrong in it. simulation_plan_parser.h reads it from a file.
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
  JobSpec job_template;    // id, tasks and image are drawn for each job
  std::vector<int> tasks;  // one of them is drawn
  int images = 1;
  double run_s = 0;
  double per_minute = 0;
  double cancel_share = 0;  // of jobs that their users cancel
  double bad_share = 0;     // of jobs that fail wherever they run
  int at_start = 0;
};

/// Machines of one type, zone and kind.
struct MachineGroup {
  Capacity capacity;
  int initial = 0;
};

struct SimulationPlan {
  std::string name;
  double until_s = 0;
  double jobs_until_s = 0;               // no new jobs from then on
  double restart_s = 6;                  // until a controller that ended is back
  double skew_s = 0.005;                 // by which times of day may be off
  double served = 0.5;                   // share of each class's and team's jobs that has to be done
  std::vector<std::string> controllers;  // the zone of each
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<MachineType> types;
  std::vector<MachineGroup> machines;
  std::vector<Workload> workloads;
  Settings site;  // limits, times and aims that every controller gets
  WorkerTimes times;
  std::vector<Fault> faults;
};

/// s of simulated time from which no fault is in force and every controller is back.
double faults_end_s(const SimulationPlan& plan);

}  // namespace corkmux::simulation
