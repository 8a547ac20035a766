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
  for (const auto& [id, failures] : machine.failures.by_job) {
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
  if (machine.failures.by_job.empty()) machine.failures.since = now;
  const bool remembered =
      machine.failures.by_job.size() < c::kFailedJobsRemembered || machine.failures.by_job.contains(id);
  if (remembered) ++machine.failures.by_job[id].times;
  // Guards against a batch of faulty machines that makes a good job look bad: what failed on a machine that
  // others fail on as well says nothing against the job.
  if (machine.is_faulty() || weight_against(machine, id) >= c::kFaultyWeight) {
    job.why = "failed on " + machine.name + ", which fails others as well; started again elsewhere";
    machine.failures.cordoned_until = now + c::kCordonTime;
    return;
  }
  job.failed_on.insert(machine.name);
  const int machines = machines_failed_on(job);
  const bool failed_by_itself = job.fails_by_itself;
  job.fails_by_itself = job.done == 0 && fails_by_itself(machines);
  if (!job.fails_by_itself) {
    job.why = "failed on " + machine.name + ", started again elsewhere";
    machine.failures.cordoned_until = now + c::kCordonTime;
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
    machine->failures.cordoned_until = kLongAgo;
    state_.reindex(*machine, now);
  }
}

void FailureTracker::task_completed(Machine& machine, Job& job) {
  machine.failures.by_job.clear();
  machine.failures.cordoned_until = kLongAgo;
  if (!job.fails_by_itself) return;
  job.fails_by_itself = false;
  job.not_before = 0;
}

void FailureTracker::judge(Machine& machine, double now) {
  if (machine.is_faulty() || machine.failures.by_job.empty() ||
      now - machine.failures.since < c::kFaultyDelay || weight_against(machine, "") < c::kFaultyWeight)
    return;
  machine.health = MachineHealth::Faulty;
  state_.note("machine " + machine.name + " fails work of different jobs: drained and returned");
  for (const auto& [id, failures] : machine.failures.by_job) {
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
    auto failures = machine->failures.by_job.find(job.spec.id);
    if (failures == machine->failures.by_job.end()) continue;
    if (job.done > 0)
      failures->second.well = true;
    else
      machine->failures.by_job.erase(failures);
  }
  job.failed_on.clear();
}

}  // namespace corkmux
