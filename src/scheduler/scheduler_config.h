// What the operators' settings say to the scheduler.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "model.h"

namespace corkmux {
struct SchedulerConfig {
  double report_s = 3;          // s between heartbeats of a worker
  double lease_s = 30;          // s that a worker's lease lasts
  double gang_wait_s = 30;      // s that a gang's member waits for the others
  double gang_peer_s = 8;       // s that a gang's member survives another
  double cancel_s = 60;         // s until a cancelled job is off every machine
  double value_kb = 16;         // KiB a stored value may take; records of format V1 are cut by it
  double record_kb = 0;         // KiB a record of format V2 may take; 0: value_kb
  int v1_tasks_per_record = 0;  // tasks a record of format V1 was cut into; 0: as value_kb says
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::map<std::string, std::vector<double>> start_within;  // s, per class: the aims on starting, rising
  std::map<std::string, double> finish_within;              // s, per class: the tightest aim on finishing
  double guarantee_within = 0;  // s: the aim on starting what is within a guarantee; 0: none
  bool details = false;         // keep lines for the debug log, see Scheduler::take_placement_details()

  /// s that a leader without contact to the state service goes on answering workers, see rule_keepalive().
  double keepalive() const;
  /// Of format V1, in which a record does not say how many tasks it covers: see docs/design.md.
  int tasks_per_v1_record() const;
};

}  // namespace corkmux
