// How often jobs come, for the decision how long idle machines are held.
//
// Owns the smoothed gap between accepted jobs and when there was last any unfinished one.
#pragma once
#include <optional>

namespace corkmux {
namespace constants {

inline constexpr double kGapSmoothing = 0.2;  // weight of the newest gap

}  // namespace constants

class ArrivalTracker {
 public:
  explicit ArrivalTracker(double now) : last_unfinished_at_(now) {}

  /// A job has come that was accepted so long ago; older ones were loaded, and say nothing of what comes
  /// next.
  void job_added(double age_s, double now);
  /// There is an unfinished job.
  void unfinished_at(double now) { last_unfinished_at_ = now; }
  /// s since there was last any unfinished job, where there is none now.
  double idle_for(double now) const { return now - last_unfinished_at_; }
  /// s between jobs as they have come of late; 0 while too few have.
  double gap() const { return gap_; }

 private:
  double last_unfinished_at_;
  std::optional<double> last_arrival_;
  double gap_ = 0;
};

}  // namespace corkmux
