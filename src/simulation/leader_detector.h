// Detects that a controller has become leader, records it in the history and delivers the heartbeats that the
// network retained for the next leader.
#pragma once
#include <string>
#include <vector>

#include "controller_fleet.h"
#include "history_recorder.h"
#include "time_constants.h"

namespace corkmux::simulation {

inline constexpr double kLeaderDetectionInterval = 0.01;  // s between checks while heartbeats are retained

/// Polls the controllers for changes of leadership.
class LeaderDetector {
 public:
  LeaderDetector(EventSimulator& simulator, const ControllerFleet& controllers, HistoryRecorder& history);
  /// Compares leadership with the last check. When a controller has become leader, the retained heartbeats
  /// are delivered to every running controller.
  void check();
  /// Checks every kLeaderDetectionInterval until `time`, in seconds of simulated time.
  void check_often_until(double time);

  /// Number of leader terms that began.
  int terms() const { return terms_; }
  /// Number of retained heartbeats that were delivered.
  std::size_t copies_delivered() const { return copies_delivered_; }

 private:
  EventSimulator& simulator_;
  const ControllerFleet& controllers_;
  HistoryRecorder& history_;
  std::vector<bool> led_;  // whether each controller led at the last check, in the order of the plan
  double often_until_ = kLongAgo;
  int terms_ = 0;
  std::size_t copies_delivered_ = 0;
};

}  // namespace corkmux::simulation
