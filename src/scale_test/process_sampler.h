// Reads at short intervals what the processes of a run use, and notices one that has ended by itself.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "event_loop.h"
#include "measured_process.h"

namespace corkmux::scale_test {

inline constexpr double kSampleEvery = 0.5;          // s between readings
inline constexpr int kSamplesBetweenFileCounts = 8;  // counting open files takes longer than the rest

class ProcessSampler {
 public:
  struct Callbacks {
    /// Those that there are now.
    std::function<std::vector<MeasuredProcess*>()> processes;
    /// Called once; nothing is read any more.
    std::function<void(const MeasuredProcess&)> ended_by_itself;
  };
  ProcessSampler(Loop& loop, Callbacks callbacks) : loop_(loop), callbacks_(std::move(callbacks)) {}

  void start() { sample(); }
  /// Leaves what was read of each process as it is, and goes on watching for those that end.
  void stop_reading() { reading_ = false; }
  void stop() { stopped_ = true; }
  /// Memory of all processes together, this one included; the largest sum so far.
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
