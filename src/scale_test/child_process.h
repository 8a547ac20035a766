// A process that the scale run starts, ends and measures. It ends with the run, however the run ends.
#pragma once
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace corkmux::scale_test {

/// What a process has used, from the kernel's account of it.
struct ProcessUsage {
  double cpu_s = 0;    // processor time so far
  double peak_mb = 0;  // of memory, the largest so far
  double now_mb = 0;
  int files = 0;  // open: sockets, but for some ten
};

class ChildProcess {
 public:
  /// Starts it with standard error (and output) appended to `log`; throws std::runtime_error if it cannot.
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  pid_t id() const { return id_; }
  /// Ends it at once and waits until it is gone.
  void kill();
  void signal(int number);
  /// Whether it runs; false also once it has ended by itself.
  bool running();
  /// No value: it has ended.
  std::optional<ProcessUsage> usage(bool count_files) const;

 private:
  pid_t id_ = -1;
};

/// A TCP address on loopback that stays free for a process yet to be started: bound here, never listened on.
class ReservedAddress {
 public:
  explicit ReservedAddress(const std::string& ip);
  ~ReservedAddress();
  ReservedAddress(ReservedAddress&& other) noexcept;
  ReservedAddress& operator=(ReservedAddress&&) = delete;
  const std::string& text() const { return text_; }

 private:
  int socket_ = -1;
  std::string text_;
};

}  // namespace corkmux::scale_test
