// Reads the resource usage of a process from the proc file system (proc(5)).
#pragma once
#include <sys/types.h>

#include <optional>

namespace corkmux::scale_test {

struct ProcessUsage {
  double cpu_s = 0;    // CPU time so far
  double peak_mb = 0;  // largest resident memory so far
  double now_mb = 0;   // resident memory
  int files = 0;       // open files, all but about ten of them sockets; 0 if they were not counted
};

/// nullopt: the process no longer exists. Counting open files takes a walk over all of them.
std::optional<ProcessUsage> read_process_usage(pid_t process, bool count_files);

/// Resident memory of the calling process, in MiB.
double own_memory_mb();

}  // namespace corkmux::scale_test
