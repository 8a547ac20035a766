// A child process that the scale run starts, kills and measures. The kernel kills it when the run's process
// ends, including by a crash.
#pragma once
#include <sys/types.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "process_usage.h"

namespace corkmux::scale_test {

/// Thrown if a process cannot be started or a system resource that it needs is unavailable. The message names
/// the program, file or address.
struct ProcessError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class ChildProcess {
 public:
  /// Starts the process, with its standard output and error appended to the file `log`. Throws ProcessError
  /// on failure.
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends SIGKILL and waits until the process has exited.
  void kill();
  /// Sends the signal; does nothing once the process has exited.
  void signal(int number);
  /// False after kill(), and also if the process has exited without it.
  bool running();
  /// nullopt: the process has exited.
  std::optional<ProcessUsage> usage(bool count_files) const;

 private:
  std::optional<pid_t> id_;  // set until the exit status is collected
};

}  // namespace corkmux::scale_test
