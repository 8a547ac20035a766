// The scheduler's configuration, derived from the operator's settings.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "model.h"

namespace corkmux {

struct SchedulerConfig {
  double report_s = 3;          // s between heartbeats of a worker
  double lease_s = 30;          // s, the length of a worker's lease
  double gang_wait_s = 30;      // s that a member of a gang waits for the other members
  double gang_peer_s = 8;       // s that a member of a gang runs on after another has ended
  double cancel_s = 60;         // s until a cancelled job is off every machine
  double value_kb = 16;         // KiB, size limit of a stored value; V1 records are split to fit it
  double record_kb = 0;         // KiB, size limit of a record of format V2; 0: value_kb
  int v1_tasks_per_record = 0;  // tasks per stored record of format V1; 0: derived from value_kb
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::map<std::string, std::vector<double>> start_within;  // s, per class: start time objectives, ascending
  std::map<std::string, double> finish_within;  // s, per class: the strictest finish time objective
  double guarantee_within = 0;                  // s: start time objective of jobs within a guarantee; 0: none
  bool details = false;  // collect debug log lines, see Scheduler::take_placement_details()

  /// s that a leader without contact to the state store continues to reply to heartbeats.
  double keepalive() const;
  /// Tasks per record of format V1, which does not store the number of tasks it covers: see docs/design.md.
  int tasks_per_v1_record() const;
};

}  // namespace corkmux
