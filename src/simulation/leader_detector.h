// Sees which controller begins to lead, for the history; and, while heartbeats are retained for the next
// leader, has them delivered as it begins.
#pragma once
#include <string>
#include <vector>

#include "controller_fleet.h"
#include "history_recorder.h"
#include "time_constants.h"

namespace corkmux::simulation {

inline constexpr double kLeaderDetectionInterval = 0.01;  // s between checks while heartbeats are retained

class LeaderDetector {
 public:
  LeaderDetector(EventSimulator& simulator, const ControllerFleet& controllers, HistoryRecorder& history);
  /// Compares with the last check. Every controller gets the retained heartbeats when one begins to lead.
  void check();
  /// Checks every few milliseconds until then, s of simulated time.
  void check_often_until(double time);

  /// Leaders that began.
  int terms() const { return terms_; }
  /// Retained heartbeats that were delivered.
  std::size_t copies_delivered() const { return copies_delivered_; }

 private:
  EventSimulator& simulator_;
  const ControllerFleet& controllers_;
  HistoryRecorder& history_;
  std::vector<bool> led_;  // by position, at the last check
  double often_until_ = kLongAgo;
  int terms_ = 0;
  std::size_t copies_delivered_ = 0;
};

}  // namespace corkmux::simulation
