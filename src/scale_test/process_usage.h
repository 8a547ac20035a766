// What a process has used so far, from the kernel's account of it (proc(5)).
#pragma once
#include <sys/types.h>

#include <optional>

namespace corkmux::scale_test {

struct ProcessUsage {
  double cpu_s = 0;    // processor time so far
  double peak_mb = 0;  // of memory, the largest so far
  double now_mb = 0;   // of memory
  int files = 0;       // open: sockets, but for some ten; 0 if they were not counted
};

/// nullopt: there is no such process any more. Counting open files costs a walk over all of them.
std::optional<ProcessUsage> read_process_usage(pid_t process, bool count_files);

/// Memory of the calling process.
double own_memory_mb();

}  // namespace corkmux::scale_test
