// One process of a run, in one role, across all its restarts: starts and kills the process, and records its
// resource usage before and within the measurement window.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "codec.h"

namespace corkmux::scale_test {

class MeasuredProcess {
 public:
  /// The output of every process of this role is appended to the file `log`.
  explicit MeasuredProcess(std::string log) : log_(std::move(log)) {}

  /// Starts the process. Throws ProcessError on failure.
  void start(const std::vector<std::string>& command);
  /// Kills the process as a crash would and counts a restart; its usage stays in the sums. False: no process
  /// was started.
  bool kill_for_restart();
  /// Kills the process without counting a restart.
  void end() { process_.reset(); }
  /// Whether the process was started and has exited without end() or a kill for a restart.
  bool exited_unexpectedly() const { return process_ && !process_->running(); }
  /// Sends the signal; does nothing if there is no process.
  void signal(int number);
  const std::string& log() const { return log_; }

  /// Sets the latest message and byte counts by kind; they start at 0 again with each restart.
  void set_traffic(codec::Json traffic) { traffic_ = std::move(traffic); }
  /// Reads the process's present resource usage.
  void read_usage(bool count_files);
  void open_window();
  void close_window();

  /// As last read, in MB.
  double memory_mb() const { return usage_.now_mb; }
  double peak_memory_mb() const { return peak_memory_mb_; }
  /// CPU time in s within the window; until the last reading if the window is still open.
  double window_cpu_s() const;
  /// The largest number of files that were open at once.
  int max_open_files_in_window() const { return max_open_files_; }
  int max_open_files_before_window() const { return max_open_files_before_window_; }
  int restarts() const { return restarts_; }
  const codec::Json& traffic() const { return traffic_; }
  const codec::Json& traffic_at_window_open() const { return traffic_at_window_open_; }

 private:
  /// CPU time in s of all processes of this role so far.
  double cpu_s() const { return cpu_of_ended_s_ + usage_.cpu_s; }

  std::string log_;
  std::unique_ptr<ChildProcess> process_;
  ProcessUsage usage_;         // of the present process, as last read
  double cpu_of_ended_s_ = 0;  // of the processes before it
  double cpu_at_window_open_s_ = 0;
  std::optional<double> cpu_at_window_close_s_;
  double peak_memory_mb_ = 0;
  int max_open_files_ = 0;
  int max_open_files_before_window_ = 0;
  int restarts_ = 0;
  codec::Json traffic_ = codec::Json::object();
  codec::Json traffic_at_window_open_ = codec::Json::object();
};

}  // namespace corkmux::scale_test
