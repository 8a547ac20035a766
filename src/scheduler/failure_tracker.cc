#include "failure_tracker.h"

#include <algorithm>
#include <utility>

#include "failure_attribution.h"

namespace corkmux {
namespace c = constants;

namespace {

int machines_failed_on(const Job& job) { return static_cast<int>(job.failed_on.size()); }

}  // namespace

double FailureTracker::total_fault_weight(const Machine& machine, const std::string& without_job) const {
  double sum = 0;
  for (const auto& [id, failures] : machine.failures.by_job) {
    if (id == without_job) continue;
    JobFailuresOnMachine known{failures.failed_tasks, 0, failures.completed_any};
    if (const Job* job = state_.job(id)) {
      known.completed_any = job->done > 0;
      known.other_machines = std::max(0, machines_failed_on(*job) - 1);
    }
    sum += machine_fault_weight(known);
  }
  return sum;
}

void FailureTracker::task_failed(Machine& machine, Job& job, double now) {
  const std::string& id = job.spec.id;
  if (machine.failures.by_job.empty()) machine.failures.since = now;
  const bool remembered =
      machine.failures.by_job.size() < c::kFailedJobsRemembered || machine.failures.by_job.contains(id);
  if (remembered) ++machine.failures.by_job[id].failed_tasks;
  // Several faulty machines must not make a good job count as failing: a failure on a machine where other
  // jobs fail as well does not count against the job.
  if (machine.is_faulty() || total_fault_weight(machine, id) >= c::kFaultyWeight) {
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
  delay_retry(job, machines, now);
  if (!failed_by_itself) uncordon_machines_failed_only_by(job, now);
}

void FailureTracker::delay_retry(Job& job, int machines, double now) {
  // Many tasks of one attempt fail at the same time: together they extend the backoff once.
  job.not_before = std::max(job.not_before, now + failing_job_backoff_s(machines));
  job.why = "failed on " + std::to_string(machines) +
            " machines, most likely the job itself; tried again with pauses";
}

void FailureTracker::uncordon_machines_failed_only_by(const Job& job, double now) {
  for (const auto& name : job.failed_on) {
    Machine* machine = state_.machine(name);
    if (!machine || total_fault_weight(*machine, job.spec.id) > 0) continue;
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

void FailureTracker::update_health(Machine& machine, double now) {
  if (machine.is_faulty() || machine.failures.by_job.empty() ||
      now - machine.failures.since < c::kFaultyDelay || total_fault_weight(machine, "") < c::kFaultyWeight)
    return;
  machine.health = MachineHealth::Faulty;
  state_.note("machine " + machine.name +
              " fails tasks of different jobs: drained, then returned to the cloud");
  for (const auto& [id, failures] : machine.failures.by_job) {
    Job* job = state_.job(id);
    if (!job || !job->failed_on.erase(machine.name) || !job->fails_by_itself) continue;
    job->fails_by_itself = job->done == 0 && fails_by_itself(machines_failed_on(*job));
    if (!job->fails_by_itself) job->not_before = now;
  }
  state_.reindex(machine, now);
}

void FailureTracker::job_ended(Job& job) {
  for (const auto& name : job.failed_on) {
    Machine* machine = state_.machine(name);
    if (!machine) continue;
    auto failures = machine->failures.by_job.find(job.spec.id);
    if (failures == machine->failures.by_job.end()) continue;
    if (job.done > 0)
      failures->second.completed_any = true;
    else
      machine->failures.by_job.erase(failures);
  }
  job.failed_on.clear();
}

}  // namespace corkmux
