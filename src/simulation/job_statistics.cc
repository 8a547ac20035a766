#include "job_statistics.h"

#include <algorithm>

#include "simulation_constants.h"

namespace corkmux::simulation {
namespace {

void add_largest(JobStatistics& statistics, const JobHistory& job) {
  ++statistics.largest;
  if (job.first_run_at && *job.first_run_at - job.submitted_at <= kLargestJobStartLimit)
    ++statistics.largest_begun;
  if (job.done_at) ++statistics.largest_done;
}

void add(JobStatistics& statistics, const JobHistory& job) {
  ++statistics.submitted;
  statistics.accepted += job.accepted_at.has_value();
  statistics.refused += job.refused;
  statistics.given_up += job.abandoned;
  statistics.started += job.first_run_at.has_value();
  statistics.cancelled += job.cancel_requested_at.has_value();
  statistics.done += !job.cancel_requested_at && job.done_at;
  if (job.first_run_at) statistics.waits.push_back(*job.first_run_at - job.submitted_at);
}

}  // namespace

double JobStatistics::served() const {
  const int expected = submitted - cancelled;
  return expected > 0 ? static_cast<double>(done) / expected : 1;
}

std::map<std::string, JobStatistics> job_statistics(const JobHistories& jobs, std::string JobSpec::*field) {
  std::map<std::string, int> most_tasks;
  for (const auto& [id, job] : jobs) {
    if (job.spec.id.empty()) continue;
    int& tasks = most_tasks[job.spec.*field];
    tasks = std::max(tasks, job.spec.tasks);
  }
  std::map<std::string, JobStatistics> all;
  for (const auto& [id, job] : jobs) {
    if (job.spec.id.empty()) continue;
    JobStatistics& statistics = all[job.spec.*field];
    const bool is_largest = job.spec.tasks == most_tasks[job.spec.*field];
    // Accepted jobs only: a job that no controller accepted during a state store outage is counted as given
    // up.
    if (is_largest && !job.cancel_requested_at && job.accepted_at) add_largest(statistics, job);
    add(statistics, job);
  }
  for (auto& [name, statistics] : all) std::sort(statistics.waits.begin(), statistics.waits.end());
  return all;
}

}  // namespace corkmux::simulation
