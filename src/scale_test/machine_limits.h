// Whether this machine can carry a scale run within its limits on descriptors, processes and memory, and
// whether the plan's workers can hold the plan's load. Checked before anything is started.
#pragma once
#include <string>

#include "scale_test_plan.h"

namespace corkmux::scale_test {

inline constexpr int kSocketsPerWorker = 3;      // its listener, its heartbeats and the controllers' commands
inline constexpr int kSpareSockets = 200;        // of each process: files, pipes, users and services
inline constexpr int kMostProcesses = 200;       // started by one run
inline constexpr double kMostUse = 0.9;          // of the workers' processors that the running tasks may take
inline constexpr double kMostMemoryShare = 0.5;  // of the machine's memory, all processes together
inline constexpr double kWorkerBytes = 120e3;    // of memory a hollow worker is planned with
inline constexpr double kControllerBytes = 80e6;  // of memory a controller is planned with
inline constexpr double kOwnBytes = 400e6;        // of memory for users, checker and state service

/// A plan that this machine cannot carry.
struct PlanTooLarge : SettingsError {
  using SettingsError::SettingsError;
};

/// Throws PlanTooLarge, which names the file and the limit.
void check_machine_limits(const ScaleTestPlan& plan, const std::string& file);

}  // namespace corkmux::scale_test
