// What a scale run reports: what each role used, how users fared, and which rules broke. As JSON and for a
// reader.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "codec.h"
#include "invariant_checker.h"
#include "measured_process.h"
#include "run_metrics.h"
#include "scale_test_plan.h"
#include "state_host.h"

namespace corkmux::scale_test {

inline constexpr double kServed = 0.5;  // of a class or team, below which a run has failed

/// What a run has measured besides its metrics.
struct RunResults {
  using Processes = std::vector<MeasuredProcess*>;

  std::optional<std::string> failure;  // why it was broken off
  double window_s = 0;                 // length of the measurement window; 0 if it was not closed
  bool leader_changed = false;         // within the window
  Processes leader;                    // the controller that led as the window opened, if any did
  Processes other_controllers;
  Processes state_service;
  Processes zone_hosts;
  Processes single_hosts;
  StateCounts state_at_window_open;
  StateCounts state;  // the latest
  double peak_memory_mb = 0;
};

class RunReport {
 public:
  /// The references have to outlive it.
  RunReport(const ScaleTestPlan& plan, const RunMetrics& metrics, const simulation::InvariantChecker& checker,
            RunResults results)
      : plan_(plan), metrics_(metrics), checker_(checker), results_(std::move(results)) {}

  /// Rules that broke, classes and teams that were not served enough, or why the run was broken off.
  std::vector<std::string> problems() const;
  /// Every rule held and enough of every class and team was served.
  bool good() const { return problems().empty(); }
  codec::Json to_json() const;
  std::string to_text() const;

 private:
  /// Length by which counts are divided.
  double seconds() const;
  codec::Json role_account(const RunResults::Processes& processes) const;
  codec::Json state_account() const;

  const ScaleTestPlan& plan_;
  const RunMetrics& metrics_;
  const simulation::InvariantChecker& checker_;
  RunResults results_;
};

}  // namespace corkmux::scale_test
