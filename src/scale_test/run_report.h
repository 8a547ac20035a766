// The report of a scale run, as JSON and as text: the resource usage of each role, the users' waiting times,
// and the invariants that were violated.
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

// Share of the jobs of a class or team that must be served; a run with less has failed.
inline constexpr double kMinServedShare = 0.5;

/// The results of a run that RunMetrics does not have.
struct RunResults {
  using Processes = std::vector<MeasuredProcess*>;

  std::optional<std::string> failure;    // why the run was aborted
  std::optional<std::string> not_run;    // why the run proves nothing, violations apart
  std::optional<std::string> unsettled;  // what has not ended after the drain
  double window_s = 0;                   // length of the measurement window; 0 if the window was not closed
  bool leader_changed = false;           // between the window's opening and closing
  Processes leader;                      // the controller that was leader when the window opened, if any
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
  /// The references must outlive the report.
  RunReport(const ScaleTestPlan& plan, const RunMetrics& metrics, const simulation::InvariantChecker& checker,
            RunResults results)
      : plan_(plan), metrics_(metrics), checker_(checker), results_(std::move(results)) {}

  /// Violated invariants and underserved classes and teams; or, if the run was aborted, the reason.
  std::vector<std::string> problems() const;
  /// Why the run proves nothing; nullopt: it does, or it has violations.
  std::optional<std::string> not_run() const;
  /// True if every invariant held and enough jobs of every class and team were served.
  bool good() const { return problems().empty(); }
  codec::Json to_json() const;
  std::string to_text() const;

 private:
  /// Length of the measurement window by which counts are divided; never 0.
  double seconds() const;
  codec::Json role_usage(const RunResults::Processes& processes) const;
  codec::Json state_service_usage() const;

  const ScaleTestPlan& plan_;
  const RunMetrics& metrics_;
  const simulation::InvariantChecker& checker_;
  RunResults results_;
};

}  // namespace corkmux::scale_test
