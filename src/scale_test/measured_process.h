// One process of a run, in one role, over all its restarts: starts and ends it, and keeps what it used before
// and within the measurement window.
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
  /// What it logs is appended to the file `log`, by every process of this role.
  explicit MeasuredProcess(std::string log) : log_(std::move(log)) {}

  /// Throws ProcessError if it cannot be started.
  void start(const std::vector<std::string>& command);
  /// Ends it as a crash would and counts a restart; what it has used stays counted. False: there was none.
  bool end_for_restart();
  /// Ends it for good.
  void end() { process_.reset(); }
  /// It was started and has ended by itself.
  bool ended_by_itself() const { return process_ && !process_->running(); }
  /// Does nothing if there is no process.
  void signal(int number);
  const std::string& log() const { return log_; }

  /// Counts of messages and bytes by kind, as the process told them last; they begin anew with each process.
  void set_traffic(codec::Json traffic) { traffic_ = std::move(traffic); }
  /// Reads what it uses now.
  void read_usage(bool count_files);
  void open_window();
  void close_window();

  /// As last read, MB.
  double memory_mb() const { return usage_.now_mb; }
  double peak_memory_mb() const { return peak_memory_mb_; }
  /// Processor time within the window; so far, if it is still open.
  double window_cpu_s() const;
  /// The most that were open at once.
  int most_files_in_window() const { return most_files_; }
  int most_files_before_window() const { return most_files_before_window_; }
  int restarts() const { return restarts_; }
  const codec::Json& traffic() const { return traffic_; }
  const codec::Json& traffic_at_window_open() const { return traffic_at_window_open_; }

 private:
  /// Of all processes of this role so far.
  double cpu_s() const { return cpu_of_ended_s_ + usage_.cpu_s; }

  std::string log_;
  std::unique_ptr<ChildProcess> process_;
  ProcessUsage usage_;         // of the present process, as last read
  double cpu_of_ended_s_ = 0;  // of the processes before it
  double cpu_at_window_open_s_ = 0;
  std::optional<double> cpu_at_window_close_s_;
  double peak_memory_mb_ = 0;
  int most_files_ = 0;
  int most_files_before_window_ = 0;
  int restarts_ = 0;
  codec::Json traffic_ = codec::Json::object();
  codec::Json traffic_at_window_open_ = codec::Json::object();
};

}  // namespace corkmux::scale_test
