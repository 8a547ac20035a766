// A process that the scale run starts, ends and measures. It ends with the run, however the run ends.
#pragma once
#include <sys/types.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "process_usage.h"

namespace corkmux::scale_test {

/// A process that cannot be started, or lacks what it needs from the system; names the program, file or
/// address.
struct ProcessError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class ChildProcess {
 public:
  /// Starts it with standard output and error appended to the file `log`. Throws ProcessError if it cannot.
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Ends it at once and waits until it is gone.
  void kill();
  /// Does nothing once it has ended.
  void signal(int number);
  /// False also once it has ended by itself.
  bool running();
  /// nullopt: it has ended.
  std::optional<ProcessUsage> usage(bool count_files) const;

 private:
  std::optional<pid_t> id_;  // until it has ended and its status was collected
};

}  // namespace corkmux::scale_test
