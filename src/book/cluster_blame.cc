// Failures in the book: machines that are faulty are returned, jobs that fail by themselves are tried again
// with pauses, and neither is taken for the other.
#include "blame.h"
#include "cluster.h"
#include "constants.h"

namespace corkmux {
namespace c = constants;

double Cluster::blame(const Machine& m, const std::string& without_job) const {
  double sum = 0;
  for (const auto& [id, b] : m.blamed) {
    if (id == without_job) continue;
    FailedThere failed{b.times, 0, b.well};
    if (auto it = jobs_.find(id); it != jobs_.end()) {
      failed.well = it->second.done > 0;
      failed.elsewhere = std::max(0, static_cast<int>(it->second.failed_on.size()) - 1);
    }
    sum += blame_of_machine(failed);
  }
  return sum;
}

void Cluster::failed(Machine& m, Job& job, double now) {
  const std::string& id = job.spec.id;
  if (m.blamed.empty()) m.blamed_since = now;
  if (m.blamed.size() < c::kBlamedJobs || m.blamed.count(id)) ++m.blamed[id].times;
  // Guards against a batch of faulty machines that makes a good job look bad: what failed on a machine that
  // others fail on as well says nothing against the job.
  if (m.sick || blame(m, id) >= c::kBlameSick) {
    job.why = "failed on " + m.name + ", which fails others as well; started again elsewhere";
    m.suspect_until = now + c::kSuspectTime;
    return;
  }
  job.failed_on.insert(m.name);
  const int machines = static_cast<int>(job.failed_on.size());
  const bool was_bad = std::exchange(job.bad, job.done == 0 && fails_by_itself(machines));
  if (!job.bad) {
    job.why = "failed on " + m.name + ", started again elsewhere";
    m.suspect_until = now + c::kSuspectTime;
    return;
  }
  // Many tasks of one try fail at once: they are one reason to wait longer, not many.
  job.not_before = std::max(job.not_before, now + pause_of_failing(machines));
  job.why = "failed on " + std::to_string(machines) +
            " machines, most likely the job itself; tried again with pauses";
  if (was_bad) return;
  // Its machines are cleared of what only it has said against them.
  for (const auto& name : job.failed_on)
    if (Machine* other = machine(name); other && blame(*other, id) <= 0) {
      other->suspect_until = -1e9;
      refile(*other, now);
    }
}

void Cluster::went_well(Machine& m, Job& job) {
  m.blamed.clear();
  m.suspect_until = -1e9;
  if (!job.bad) return;
  job.bad = false;
  job.not_before = 0;
}

void Cluster::judge(Machine& m, double now) {
  if (m.sick || m.blamed.empty() || now - m.blamed_since < c::kBlameWait || blame(m, "") < c::kBlameSick)
    return;
  m.sick = true;
  notes_.push_back("machine " + m.name + " fails work of different jobs: drained and returned");
  for (const auto& [id, b] : m.blamed) {
    Job* job = this->job(id);
    if (!job || !job->failed_on.erase(m.name) || !job->bad) continue;
    job->bad = job->done == 0 && fails_by_itself(static_cast<int>(job->failed_on.size()));
    if (!job->bad) job->not_before = now;
  }
  refile(m, now);
}

void Cluster::settle_blame(Job& job) {
  for (const auto& name : job.failed_on)
    if (Machine* m = machine(name))
      if (auto b = m->blamed.find(job.spec.id); b != m->blamed.end()) {
        if (job.done > 0)
          b->second.well = true;
        else
          m->blamed.erase(b);
      }
  job.failed_on.clear();
}

}  // namespace corkmux
