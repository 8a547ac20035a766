// Reads the resource usage of a run's processes at short intervals, and detects a process that exits
// unexpectedly.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "event_loop.h"
#include "measured_process.h"

namespace corkmux::scale_test {

inline constexpr double kSampleInterval = 0.5;  // s between readings
// Open files are counted less often, because counting them takes longer than the other readings.
inline constexpr int kSamplesBetweenFileCounts = 8;

class ProcessSampler {
 public:
  struct Callbacks {
    /// Returns the processes that the run has at present.
    std::function<std::vector<MeasuredProcess*>()> processes;
    /// Called once, for the first such process; sampling stops then.
    std::function<void(const MeasuredProcess&)> exited_unexpectedly;
  };
  ProcessSampler(Loop& loop, Callbacks callbacks) : loop_(loop), callbacks_(std::move(callbacks)) {}

  void start() { sample(); }
  /// Stops reading the resource usage, and continues to detect processes that exit unexpectedly.
  void stop_reading() { reading_ = false; }
  void stop() { stopped_ = true; }
  /// The largest sum so far, in MB, of the memory of all processes, this process included.
  double peak_memory_mb() const { return peak_memory_mb_; }

 private:
  void sample();
  void read_usage();

  Loop& loop_;
  Callbacks callbacks_;
  int samples_ = 0;
  double peak_memory_mb_ = 0;
  bool reading_ = true;
  bool stopped_ = false;
};

}  // namespace corkmux::scale_test
