// Detects that the process did not run for some time while its clocks continued.
//
// Owns the time of the last check; the caller decides how to react to a stall. Used on the leader's actor
// only.
#pragma once
#include <optional>

namespace corkmux {

class StallDetector {
 public:
  explicit StallDetector(double now) : last_check_(now) {}

  /// Records that the process runs, without checking for a stall.
  void reset(double now) { last_check_ = now; }
  /// Returns the duration of the stall, s; nullopt: the time since the last check is not a stall.
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
