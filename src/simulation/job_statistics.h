// History of each job as observed by machines and users, and statistics of it per class or team: jobs
// submitted, started and done.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "job_spec.h"

namespace corkmux::simulation {

/// Times are s of simulated time; an empty time means that the event has not happened.
struct JobHistory {
  struct Placement {
    std::string machine;
    std::string zone;
  };
  JobSpec spec;  // an empty id: the job was not submitted
  double submitted_at = 0;
  std::optional<double> accepted_at;
  std::optional<double> first_run_at;
  std::optional<double> done_at;  // when its last task ended on a machine
  // Requests of users and the answers to them.
  std::optional<double> cancel_requested_at;
  std::optional<double> cancellation_confirmed_at;
  std::optional<double> completion_confirmed_at;
  std::optional<double> unanswered_since;  // since when no poll was answered
  std::optional<double> fits_since;        // start of a wait despite free capacity after the end of faults
  bool refused = false;
  bool abandoned = false;  // its user stopped submitting it
  int tasks_done = 0;
  std::map<int, Placement> placements;  // by task index
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
  std::vector<double> waits;  // s from the first submission attempt to the first running task, sorted
  // The largest jobs that were accepted and not cancelled:
  int largest = 0;
  int largest_begun = 0;  // started within kLargestJobStartLimit
  int largest_done = 0;
  /// Share of the jobs without a cancellation request that are done.
  double served() const;
};

/// Statistics grouped by that field of the jobs, their class or team.
std::map<std::string, JobStatistics> job_statistics(const JobHistories& jobs, std::string JobSpec::*field);

}  // namespace corkmux::simulation
