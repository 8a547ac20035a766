// Finds out that the process did not run for a while although its clocks went on.
//
// Owns the moment of the last check. It never decides what a stall means. Used on the leader's actor only.
#pragma once
#include <optional>

namespace corkmux {

class StallDetector {
 public:
  explicit StallDetector(double now) : last_check_(now) {}

  /// Notes that the process runs, without asking for a stall.
  void reset(double now) { last_check_ = now; }
  /// Seconds for which nothing ran, if these were a stall.
  std::optional<double> check(double now) {
    double pause = now - last_check_;
    last_check_ = now;
    if (pause > kStallThreshold) return pause;
    return std::nullopt;
  }

 private:
  static constexpr double kStallThreshold = 2.0;  // s between two checks; a tick takes much less

  double last_check_;
};

}  // namespace corkmux
