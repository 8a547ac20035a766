#include "measured_process.h"

#include <algorithm>
#include <utility>

namespace corkmux::scale_test {

void MeasuredProcess::start(const std::vector<std::string>& command) {
  process_ = std::make_unique<ChildProcess>(command, log_);
}

bool MeasuredProcess::kill_for_restart() {
  if (!process_) return false;
  read_usage(false);
  cpu_of_ended_s_ += usage_.cpu_s;
  usage_.cpu_s = 0;
  process_.reset();
  ++restarts_;
  return true;
}

void MeasuredProcess::signal(int number) {
  if (process_) process_->signal(number);
}

void MeasuredProcess::read_usage(bool count_files) {
  auto usage = process_ ? process_->usage(count_files) : std::nullopt;
  if (!usage) return;
  peak_memory_mb_ = std::max(peak_memory_mb_, usage->peak_mb);
  max_open_files_ = std::max(max_open_files_, usage->files);
  usage_ = *usage;
}

void MeasuredProcess::open_window() {
  max_open_files_before_window_ = std::exchange(max_open_files_, 0);
  read_usage(true);
  cpu_at_window_open_s_ = cpu_s();
  traffic_at_window_open_ = traffic_;
}

void MeasuredProcess::close_window() {
  read_usage(true);
  cpu_at_window_close_s_ = cpu_s();
}

double MeasuredProcess::window_cpu_s() const {
  return cpu_at_window_close_s_.value_or(cpu_s()) - cpu_at_window_open_s_;
}

}  // namespace corkmux::scale_test
