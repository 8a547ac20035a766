// Checks, before a scale run starts any process, that the run fits this machine's limits on file descriptors,
// processes and memory, and that the plan's workers have the capacity for the plan's load.
#pragma once
#include <string>

#include "scale_test_plan.h"

namespace corkmux::scale_test {

// A worker's listener, its heartbeat connection and the controllers' command connection.
inline constexpr int kSocketsPerWorker = 3;
inline constexpr int kReservedSockets = 200;  // of each process, for files, pipes, users and services
inline constexpr int kMaxProcesses = 200;     // started by one run
// Share of the workers' CPUs that the running tasks may use.
inline constexpr double kMaxCpuUtilization = 0.9;
inline constexpr double kMaxMemoryShare = 0.5;    // share of the machine's memory for all processes together
inline constexpr double kBytesPerWorker = 120e3;  // memory estimate for one hollow worker
inline constexpr double kBytesPerController = 80e6;  // memory estimate for one controller
inline constexpr double kOverheadBytes = 400e6;      // memory estimate for users, checker and state service

/// Thrown for a plan that exceeds this machine's limits.
struct PlanTooLarge : SettingsError {
  using SettingsError::SettingsError;
};

/// Throws PlanTooLarge, whose message names the plan's file and the limit, if the plan exceeds a limit.
void check_machine_limits(const ScaleTestPlan& plan, const std::string& file);

}  // namespace corkmux::scale_test
