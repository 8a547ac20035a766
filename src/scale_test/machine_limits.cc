#include "machine_limits.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

namespace corkmux::scale_test {
namespace {

double max_open_files() {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  return static_cast<double>(files.rlim_cur);
}

double memory_bytes() {
  return static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

void check_open_files(const ScaleTestPlan& plan, const std::string& file) {
  double limit = max_open_files();
  double sockets = plan.max_workers_in_zone() * kSocketsPerWorker + kReservedSockets;
  if (sockets > limit)
    throw PlanTooLarge(fmt::format(
        "{}: {} workers of one zone need {} sockets, a process may have {}: more zones are needed", file,
        plan.max_workers_in_zone(), sockets, limit));
  if (plan.fd_limit > limit)
    throw PlanTooLarge(fmt::format("{}: controller_limits.fd_limit is {}, a process may have {}", file,
                                   plan.fd_limit, limit));
}

void check_load(const ScaleTestPlan& plan, const std::string& file) {
  double usable_cpus = kMaxCpuUtilization * plan.workers * kPlainSize.cpus;
  double used_cpus = plan.running_tasks() * plan.task_cpus;
  if (used_cpus > usable_cpus)
    throw PlanTooLarge(
        fmt::format("{}: {:.0f} tasks that run at once take {:.0f} CPUs, the workers have room for {:.0f}",
                    file, plan.running_tasks(), used_cpus, usable_cpus));
}

void check_processes(const ScaleTestPlan& plan, const std::string& file) {
  // The 2 are the state service and this program.
  int processes = plan.controllers + plan.zones + plan.single_workers + 2;
  if (processes > kMaxProcesses)
    throw PlanTooLarge(
        fmt::format("{}: {} processes would be started, {} at most are", file, processes, kMaxProcesses));
}

void check_memory(const ScaleTestPlan& plan, const std::string& file) {
  constexpr double kBytesPerGb = 1e9;
  double usable = kMaxMemoryShare * memory_bytes();
  double needed = plan.workers * kBytesPerWorker + plan.controllers * kBytesPerController + kOverheadBytes;
  if (needed > usable)
    throw PlanTooLarge(
        fmt::format("{}: some {:.1f} GB of memory would be taken, half of this machine's is {:.1f}", file,
                    needed / kBytesPerGb, usable / kBytesPerGb));
}

}  // namespace

void check_machine_limits(const ScaleTestPlan& plan, const std::string& file) {
  check_open_files(plan, file);
  check_load(plan, file);
  check_processes(plan, file);
  check_memory(plan, file);
}

}  // namespace corkmux::scale_test
