// The measurements of a scale run from the events of users and machines: histograms of waits, counts of
// starts, and the pauses between starts. Events must arrive in the order of their times.
#pragma once
#include <algorithm>
#include <boost/histogram.hpp>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "codec.h"
#include "event_merger.h"

namespace corkmux::scale_test {

// Bins of the histograms: logarithmic, from a millisecond to the longest wait, 100 bins per factor of ten.
inline constexpr double kMinTime = 0.001;  // s
inline constexpr double kMaxTime = 1000;   // s
inline constexpr int kTimeBins = 600;
inline constexpr double kPauseWindow = 20;  // s after a fault in which a pause is attributed to that fault

/// A histogram of times with logarithmic bins.
class TimeHistogram {
 public:
  void add(double seconds) { histogram_(std::clamp(seconds, kMinTime, kMaxTime * 0.999)); }
  /// The time in s that this share of the times does not exceed, with the precision of a bin; 0 without any
  /// times.
  double quantile(double share) const;
  /// The share of the times that do not exceed `seconds`; 1 without any times.
  double share_within(double seconds) const;
  double count() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> histogram_ =
      boost::histogram::make_histogram(Axis(kTimeBins, kMinTime, kMaxTime));
};

/// The time interval, in s of run_time(), in which a run is measured.
struct MeasurementWindow {
  double from = 0;
  double to = 0;
  double length_s() const { return to - from; }
  bool contains(double at) const { return at >= from && at < to; }
};

/// The longest time without any task start after a fault.
struct Pause {
  std::string after;  // name of the fault
  double at = 0;      // s of run_time()
  double longest_s = 0;
};

class RunMetrics : public EventMerger::Listener {
 public:
  /// Only submissions and starts within the window count; without a window none do.
  void set_window(MeasurementWindow window) { window_ = window; }
  void fault(const std::string& name, double at) { pauses_.push_back({name, at, 0}); }
  void submitted(const JobSpec& job, double at) override;
  void accepted(const std::string& job, double at) override;
  void refused(int status, double at) override;
  void started(const simulation::SimulatedJob& work, int index, double at) override;
  void running(const simulation::SimulatedJob& work, double at) override;
  void left(const simulation::SimulatedJob& work, const std::string& why, double at) override;
  codec::Json to_json() const;
  int starts() const { return starts_; }

 private:
  struct WaitingJob {
    double since = 0;
    bool urgent = false;
  };
  bool counts(double at) const { return window_ && window_->contains(at); }
  void extend_pauses(double start_at);
  codec::Json pauses_to_json() const;

  std::optional<MeasurementWindow> window_;
  std::optional<double> last_start_;
  double longest_pause_ = 0;
  int starts_ = 0;
  int submitted_ = 0;
  int running_now_ = 0;
  int max_running_ = 0;
  std::map<std::string, double> waiting_for_acceptance_;  // time of submission, by job
  std::map<std::string, WaitingJob> waiting_for_start_;
  std::map<int, int> refusals_;              // by status
  std::map<std::string, int> exits_by_why_;  // of tasks
  TimeHistogram accepted_in_;
  TimeHistogram urgent_running_in_;
  TimeHistogram other_running_in_;
  std::vector<Pause> pauses_;
};

}  // namespace corkmux::scale_test
