// Tracks how often jobs arrive; the result decides how long idle machines are held.
//
// Owns the smoothed gap between accepted jobs and the time at which a job was last unfinished.
#pragma once
#include <optional>

namespace corkmux {
namespace constants {

inline constexpr double kGapSmoothing = 0.2;  // weight of the newest gap

}  // namespace constants

class ArrivalTracker {
 public:
  explicit ArrivalTracker(double now) : last_unfinished_job_at_(now) {}

  /// Counts the arrival of a job that was accepted `age_s` ago. Jobs older than kFreshArrival were loaded
  /// from the state store; they are ignored because they do not predict the next arrival.
  void job_added(double age_s, double now);
  /// Called while at least one job is unfinished.
  void note_unfinished_job(double now) { last_unfinished_job_at_ = now; }
  /// Seconds since a job was last unfinished; meaningful only while there is none.
  double idle_for(double now) const { return now - last_unfinished_job_at_; }
  /// Smoothed seconds between recent arrivals; 0 until two jobs have arrived.
  double gap() const { return gap_; }

 private:
  double last_unfinished_job_at_;
  std::optional<double> last_arrival_;
  double gap_ = 0;
};

}  // namespace corkmux
