// What machines and users saw of each job, and the report of it: per class or team what was submitted,
// started and done.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "job_spec.h"

namespace corkmux::simulation {

/// Times are s of simulated time; none: not yet, or not.
struct JobHistory {
  struct Placement {
    std::string machine;
    std::string zone;
  };
  JobSpec spec;  // without an id: nobody submitted it
  double submitted_at = 0;
  std::optional<double> accepted_at;
  std::optional<double> first_run_at;
  std::optional<double> done_at;  // on machines
  // What users asked for and were told.
  std::optional<double> cancel_requested_at;
  std::optional<double> told_cancelled_at;
  std::optional<double> told_done_at;
  std::optional<double> silent_since;  // no poll was answered since
  std::optional<double> fits_since;    // once faults are over: it waits though a machine has room
  bool refused = false;
  bool abandoned = false;  // its user gave up submitting it
  int tasks_done = 0;
  std::map<int, Placement> placements;  // by the task's index
};

using JobHistories = std::map<std::string, JobHistory>;

struct JobStatistics {
  int submitted = 0;
  int accepted = 0;
  int refused = 0;
  int given_up = 0;
  int started = 0;
  int cancelled = 0;
  int done = 0;
  std::vector<double> waits;  // s from the first try to submit to the first running task, sorted
  // Of its largest jobs that were accepted and not cancelled.
  int largest = 0;
  int largest_begun = 0;  // in time
  int largest_done = 0;
  /// Share of the jobs that were not cancelled.
  double served() const;
};

/// By that field of the jobs, their class or team.
std::map<std::string, JobStatistics> job_statistics(const JobHistories& jobs, std::string JobSpec::*field);

}  // namespace corkmux::simulation
