// What a scale run measures of users and machines: histograms of waits, starts and the pauses between them.
#pragma once
#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <vector>

#include "codec.h"
#include "event_merger.h"
#include "scale_test_constants.h"

namespace corkmux::scale_test {

/// Times on a logarithmic scale.
class TimeHistogram {
 public:
  void add(double seconds) { histogram_(std::clamp(seconds, kLeastTime, kMostTime * 0.999)); }
  /// s that this share of the times does not exceed, to the width of a bin; 0 without any.
  double quantile(double share) const;
  /// Of the times that do not exceed it.
  double share_within(double seconds) const;
  double count() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> histogram_ =
      boost::histogram::make_histogram(Axis(kTimeBins, kLeastTime, kMostTime));
};

/// A pause in placing: the longest time without any start after a moment.
struct Pause {
  std::string after;  // which fault
  double at = 0, longest_s = 0;
};

class RunMetrics : public EventMerger::Listener {
 public:
  /// Only what is submitted or starts in the window, s of run_time(), counts.
  void set_window(double from, double to) { from_ = from, to_ = to; }
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
  bool counts(double at) const { return at >= from_ && at < to_; }
  struct Waiting {
    double since;
    bool urgent;
  };
  double from_ = 1e18, to_ = 1e18, last_start_ = 0, longest_pause_ = 0;
  int starts_ = 0, submitted_ = 0, running_now_ = 0, most_running_ = 0;
  std::map<std::string, Waiting> waiting_for_answer_, waiting_for_start_;
  std::map<int, int> refusals_;              // by status
  std::map<std::string, int> exits_by_why_;  // of tasks
  TimeHistogram accepted_in_, urgent_running_in_, other_running_in_;
  std::vector<Pause> pauses_;
};

}  // namespace corkmux::scale_test
