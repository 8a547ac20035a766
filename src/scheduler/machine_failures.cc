// Failures in the book: machines that are faulty are returned, jobs that fail by themselves are tried again
// with pauses, and neither is taken for the other.
#include "failure_attribution.h"
#include "scheduler.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;

double Scheduler::failure_weight(const Machine& m, const std::string& without_job) const {
  double sum = 0;
  for (const auto& [id, b] : m.failures) {
    if (id == without_job) continue;
    MachineFailures failed{b.times, 0, b.well};
    if (auto it = state_.jobs().find(id); it != state_.jobs().end()) {
      failed.well = it->second.done > 0;
      failed.elsewhere = std::max(0, static_cast<int>(it->second.failed_on.size()) - 1);
    }
    sum += weight_against_machine(failed);
  }
  return sum;
}

void Scheduler::failed(Machine& m, Job& job, double now) {
  const std::string& id = job.spec.id;
  if (m.failures.empty()) m.failures_since = now;
  if (m.failures.size() < c::kFailedJobsRemembered || m.failures.count(id)) ++m.failures[id].times;
  // Guards against a batch of faulty machines that makes a good job look bad: what failed on a machine that
  // others fail on as well says nothing against the job.
  if (m.faulty || failure_weight(m, id) >= c::kFaultyWeight) {
    job.why = "failed on " + m.name + ", which fails others as well; started again elsewhere";
    m.cordoned_until = now + c::kCordonTime;
    return;
  }
  job.failed_on.insert(m.name);
  const int machines = static_cast<int>(job.failed_on.size());
  const bool was_bad = std::exchange(job.fails_by_itself, job.done == 0 && fails_by_itself(machines));
  if (!job.fails_by_itself) {
    job.why = "failed on " + m.name + ", started again elsewhere";
    m.cordoned_until = now + c::kCordonTime;
    return;
  }
  // Many tasks of one try fail at once: they are one reason to wait longer, not many.
  job.not_before = std::max(job.not_before, now + pause_of_failing(machines));
  job.why = "failed on " + std::to_string(machines) +
            " machines, most likely the job itself; tried again with pauses";
  if (was_bad) return;
  // Its machines are cleared of what only it has said against them.
  for (const auto& name : job.failed_on)
    if (Machine* other = state_.machine(name); other && failure_weight(*other, id) <= 0) {
      other->cordoned_until = kLongAgo;
      state_.reindex(*other, now);
    }
}

void Scheduler::went_well(Machine& m, Job& job) {
  m.failures.clear();
  m.cordoned_until = kLongAgo;
  if (!job.fails_by_itself) return;
  job.fails_by_itself = false;
  job.not_before = 0;
}

void Scheduler::judge_machine(Machine& m, double now) {
  if (m.faulty || m.failures.empty() || now - m.failures_since < c::kFaultyDelay ||
      failure_weight(m, "") < c::kFaultyWeight)
    return;
  m.faulty = true;
  state_.note("machine " + m.name + " fails work of different jobs: drained and returned");
  for (const auto& [id, b] : m.failures) {
    Job* job = state_.job(id);
    if (!job || !job->failed_on.erase(m.name) || !job->fails_by_itself) continue;
    job->fails_by_itself = job->done == 0 && fails_by_itself(static_cast<int>(job->failed_on.size()));
    if (!job->fails_by_itself) job->not_before = now;
  }
  state_.reindex(m, now);
}

void Scheduler::settle_job_failures(Job& job) {
  for (const auto& name : job.failed_on)
    if (Machine* m = state_.machine(name))
      if (auto b = m->failures.find(job.spec.id); b != m->failures.end()) {
        if (job.done > 0)
          b->second.well = true;
        else
          m->failures.erase(b);
      }
  job.failed_on.clear();
}

}  // namespace corkmux
