#include "failure_tracker.h"

#include <algorithm>
#include <utility>

#include "failure_attribution.h"

namespace corkmux {
namespace c = constants;

namespace {

int machines_failed_on(const Job& job) { return static_cast<int>(job.failed_on.size()); }

}  // namespace

double FailureTracker::weight_against(const Machine& machine, const std::string& without_job) const {
  double sum = 0;
  for (const auto& [id, failures] : machine.failures) {
    if (id == without_job) continue;
    MachineFailures known{failures.times, 0, failures.well};
    if (const Job* job = state_.job(id)) {
      known.well = job->done > 0;
      known.elsewhere = std::max(0, machines_failed_on(*job) - 1);
    }
    sum += weight_against_machine(known);
  }
  return sum;
}

void FailureTracker::task_failed(Machine& machine, Job& job, double now) {
  const std::string& id = job.spec.id;
  if (machine.failures.empty()) machine.failures_since = now;
  const bool remembered = machine.failures.size() < c::kFailedJobsRemembered || machine.failures.contains(id);
  if (remembered) ++machine.failures[id].times;
  // Guards against a batch of faulty machines that makes a good job look bad: what failed on a machine that
  // others fail on as well says nothing against the job.
  if (machine.faulty || weight_against(machine, id) >= c::kFaultyWeight) {
    job.why = "failed on " + machine.name + ", which fails others as well; started again elsewhere";
    machine.cordoned_until = now + c::kCordonTime;
    return;
  }
  job.failed_on.insert(machine.name);
  const int machines = machines_failed_on(job);
  const bool failed_by_itself = job.fails_by_itself;
  job.fails_by_itself = job.done == 0 && fails_by_itself(machines);
  if (!job.fails_by_itself) {
    job.why = "failed on " + machine.name + ", started again elsewhere";
    machine.cordoned_until = now + c::kCordonTime;
    return;
  }
  retry_with_pauses(job, machines, now);
  if (!failed_by_itself) clear_machines_failed_only_by(job, now);
}

void FailureTracker::retry_with_pauses(Job& job, int machines, double now) {
  // Many tasks of one try fail at once: they are one reason to wait longer, not many.
  job.not_before = std::max(job.not_before, now + pause_of_failing(machines));
  job.why = "failed on " + std::to_string(machines) +
            " machines, most likely the job itself; tried again with pauses";
}

void FailureTracker::clear_machines_failed_only_by(const Job& job, double now) {
  for (const auto& name : job.failed_on) {
    Machine* machine = state_.machine(name);
    if (!machine || weight_against(*machine, job.spec.id) > 0) continue;
    machine->cordoned_until = kLongAgo;
    state_.reindex(*machine, now);
  }
}

void FailureTracker::task_completed(Machine& machine, Job& job) {
  machine.failures.clear();
  machine.cordoned_until = kLongAgo;
  if (!job.fails_by_itself) return;
  job.fails_by_itself = false;
  job.not_before = 0;
}

void FailureTracker::judge(Machine& machine, double now) {
  if (machine.faulty || machine.failures.empty() || now - machine.failures_since < c::kFaultyDelay ||
      weight_against(machine, "") < c::kFaultyWeight)
    return;
  machine.faulty = true;
  state_.note("machine " + machine.name + " fails work of different jobs: drained and returned");
  for (const auto& [id, failures] : machine.failures) {
    Job* job = state_.job(id);
    if (!job || !job->failed_on.erase(machine.name) || !job->fails_by_itself) continue;
    job->fails_by_itself = job->done == 0 && fails_by_itself(machines_failed_on(*job));
    if (!job->fails_by_itself) job->not_before = now;
  }
  state_.reindex(machine, now);
}

void FailureTracker::settle(Job& job) {
  for (const auto& name : job.failed_on) {
    Machine* machine = state_.machine(name);
    if (!machine) continue;
    auto failures = machine->failures.find(job.spec.id);
    if (failures == machine->failures.end()) continue;
    if (job.done > 0)
      failures->second.well = true;
    else
      machine->failures.erase(failures);
  }
  job.failed_on.clear();
}

}  // namespace corkmux
