#include "job_index.h"

#include "job.h"

namespace corkmux {
namespace {

/// Of all its tasks. Memory is not metered.
Resources metered_need(const Job& job) {
  const auto tasks = static_cast<double>(job.spec.tasks);
  return {job.spec.need.cpus * tasks, job.spec.need.gpus * tasks, 0};
}

/// The job is in the set from now on, or no longer.
void set_member(JobSet& set, Job& job, bool& indexed, bool member) {
  if (indexed == member) return;
  indexed = member;
  if (member)
    set.insert(&job);
  else
    set.erase(&job);
}

std::size_t index_of(Priority priority) { return static_cast<std::size_t>(priority); }

bool is_admission_candidate(const Job& job) {
  using Admission = Job::GuaranteeAdmission;
  if (job.guarantee_admission == Admission::Undecided) return job.ready();
  return job.guarantee_admission == Admission::Granted;
}

std::optional<Priority> priority_if(const Job& job, bool counts) {
  return counts ? std::optional(job.priority) : std::nullopt;
}

}  // namespace

bool ByOrder::operator()(const Job* left, const Job* right) const {
  return left->order != right->order ? left->order < right->order : left->spec.id < right->spec.id;
}

JobIndex::JobIndex(const std::vector<Team>& teams) {
  for (const auto& team : teams) teams_.try_emplace(team.name, team);
}

void JobIndex::set_guaranteed(Ledger& ledger, Job& job, bool guaranteed) {
  ++items_examined_;
  if (job.indexed.running) {
    ledger.running[job.indexed.guaranteed].erase(&job);
    ledger.running[guaranteed].insert(&job);
  }
  job.indexed.guaranteed = guaranteed;
}

void JobIndex::enter(Ledger& ledger, Job& job) {
  ++items_examined_;
  ledger.jobs.insert(&job);
  // Behind the first that is over the guarantee, it is over it as well.
  if (ledger.over_guarantee != ledger.jobs.end() && !ByOrder{}(&job, *ledger.over_guarantee)) return;
  ledger.within += metered_need(job);
  set_guaranteed(ledger, job, true);
  // What it pushes out is the latest of those within; that may be itself.
  while (!ledger.team.guarantees(ledger.within) && ledger.over_guarantee != ledger.jobs.begin()) {
    --ledger.over_guarantee;
    Job& latest = **ledger.over_guarantee;
    ledger.within -= metered_need(latest);
    set_guaranteed(ledger, latest, false);
  }
  if (ledger.over_guarantee == ledger.jobs.begin()) ledger.within = {};
}

void JobIndex::leave(Ledger& ledger, Job& job) {
  ++items_examined_;
  if (job.indexed.guaranteed) {
    ledger.within -= metered_need(job);
    set_guaranteed(ledger, job, false);
  }
  auto left = ledger.jobs.find(&job);
  if (left == ledger.jobs.end()) return;
  if (ledger.over_guarantee == left) ++ledger.over_guarantee;
  ledger.jobs.erase(left);
  if (ledger.over_guarantee == ledger.jobs.begin()) ledger.within = {};
  for (; ledger.over_guarantee != ledger.jobs.end(); ++ledger.over_guarantee) {
    Job& next = **ledger.over_guarantee;
    Resources with_next = ledger.within;
    with_next += metered_need(next);
    if (!ledger.team.guarantees(with_next)) break;
    ledger.within = with_next;
    set_guaranteed(ledger, next, true);
  }
}

void JobIndex::count(CountByPriority& counts, std::optional<Priority>& counted_under,
                     std::optional<Priority> priority) {
  if (counted_under == priority) return;
  if (counted_under) --counts[index_of(*counted_under)];
  if (priority) ++counts[index_of(*priority)];
  counted_under = priority;
}

void JobIndex::update(Job& job) {
  Indexed& indexed = job.indexed;
  const bool ready = job.ready();
  const bool running = !job.active.empty();
  auto team = teams_.find(job.spec.team);
  if (ready != indexed.ready) {
    indexed.ready = ready;
    if (team != teams_.end()) ready ? enter(team->second, job) : leave(team->second, job);
  }
  if (team != teams_.end())
    set_member(team->second.running[indexed.guaranteed], job, indexed.running, running);
  else
    indexed.running = running;
  set_member(waiting_, job, indexed.waiting, ready && job.queued > 0);
  set_member(admission_candidates_, job, indexed.admission_candidate, is_admission_candidate(job));
  count(accelerator_users_, indexed.accelerator_user, priority_if(job, ready && job.spec.need.gpus > 0));
  count(stoppable_, indexed.stoppable, priority_if(job, running && !job.is_gang()));
}

void JobIndex::remove(Job& job) {
  Indexed& indexed = job.indexed;
  if (auto team = teams_.find(job.spec.team); team != teams_.end()) {
    if (indexed.ready) leave(team->second, job);
    if (indexed.running) team->second.running[indexed.guaranteed].erase(&job);
  }
  waiting_.erase(&job);
  admission_candidates_.erase(&job);
  count(accelerator_users_, indexed.accelerator_user, std::nullopt);
  count(stoppable_, indexed.stoppable, std::nullopt);
  indexed = {};
}

const JobSet& JobIndex::running(const std::string& team, bool guaranteed) const {
  static const JobSet none;
  auto found = teams_.find(team);
  return found == teams_.end() ? none : found->second.running[guaranteed];
}

std::optional<Priority> JobIndex::accelerator_users() const {
  for (std::size_t priority = accelerator_users_.size(); priority-- > 0;)
    if (accelerator_users_[priority] > 0) return static_cast<Priority>(priority);
  return std::nullopt;
}

std::optional<Priority> JobIndex::lowest_stoppable() const {
  for (std::size_t priority = 0; priority < stoppable_.size(); ++priority)
    if (stoppable_[priority] > 0) return static_cast<Priority>(priority);
  return std::nullopt;
}

}  // namespace corkmux
