#include "job_index.h"

#include "job.h"

namespace corkmux {
namespace {

/// Need of all the job's tasks that counts against quota. Memory does not count.
Resources quota_need(const Job& job) {
  const auto tasks = static_cast<double>(job.spec.tasks);
  return {job.spec.need.cpus * tasks, job.spec.need.gpus * tasks, 0};
}

/// Inserts the job into the set or erases it; `indexed` is whether the set has it.
void update_membership(JobSet& set, Job& job, bool& indexed, bool member) {
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

std::optional<Priority> priority_if(const Job& job, bool counted) {
  return counted ? std::optional(job.priority) : std::nullopt;
}

}  // namespace

bool ByAcceptanceOrder::operator()(const Job* left, const Job* right) const {
  return left->order != right->order ? left->order < right->order : left->spec.id < right->spec.id;
}

JobIndex::JobIndex(const std::vector<Team>& teams) {
  for (const auto& team : teams) teams_.try_emplace(team.name, team);
}

void JobIndex::set_guaranteed(TeamJobs& team_jobs, Job& job, bool guaranteed) {
  ++items_examined_;
  if (job.indexed.running) {
    team_jobs.running[job.indexed.guaranteed].erase(&job);
    team_jobs.running[guaranteed].insert(&job);
  }
  job.indexed.guaranteed = guaranteed;
}

void JobIndex::add_ready(TeamJobs& team_jobs, Job& job) {
  ++items_examined_;
  team_jobs.jobs.insert(&job);
  // A job accepted after the first one over the guarantee is over the guarantee as well.
  if (team_jobs.first_over_guarantee != team_jobs.jobs.end() &&
      !ByAcceptanceOrder{}(&job, *team_jobs.first_over_guarantee))
    return;
  team_jobs.guaranteed_need += quota_need(job);
  set_guaranteed(team_jobs, job, true);
  // The new job displaces the latest jobs from the guarantee, possibly itself.
  while (!team_jobs.team.guarantees(team_jobs.guaranteed_need) &&
         team_jobs.first_over_guarantee != team_jobs.jobs.begin()) {
    --team_jobs.first_over_guarantee;
    Job& latest = **team_jobs.first_over_guarantee;
    team_jobs.guaranteed_need -= quota_need(latest);
    set_guaranteed(team_jobs, latest, false);
  }
  if (team_jobs.first_over_guarantee == team_jobs.jobs.begin()) team_jobs.guaranteed_need = {};
}

void JobIndex::remove_ready(TeamJobs& team_jobs, Job& job) {
  ++items_examined_;
  if (job.indexed.guaranteed) {
    team_jobs.guaranteed_need -= quota_need(job);
    set_guaranteed(team_jobs, job, false);
  }
  auto removed = team_jobs.jobs.find(&job);
  if (removed == team_jobs.jobs.end()) return;
  if (team_jobs.first_over_guarantee == removed) ++team_jobs.first_over_guarantee;
  team_jobs.jobs.erase(removed);
  if (team_jobs.first_over_guarantee == team_jobs.jobs.begin()) team_jobs.guaranteed_need = {};
  for (; team_jobs.first_over_guarantee != team_jobs.jobs.end(); ++team_jobs.first_over_guarantee) {
    Job& next = **team_jobs.first_over_guarantee;
    Resources with_next = team_jobs.guaranteed_need;
    with_next += quota_need(next);
    if (!team_jobs.team.guarantees(with_next)) break;
    team_jobs.guaranteed_need = with_next;
    set_guaranteed(team_jobs, next, true);
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
    if (team != teams_.end()) ready ? add_ready(team->second, job) : remove_ready(team->second, job);
  }
  if (team != teams_.end())
    update_membership(team->second.running[indexed.guaranteed], job, indexed.running, running);
  else
    indexed.running = running;
  update_membership(waiting_, job, indexed.waiting, ready && job.queued > 0);
  update_membership(admission_candidates_, job, indexed.admission_candidate, is_admission_candidate(job));
  count(accelerator_users_, indexed.accelerator_user, priority_if(job, ready && job.spec.need.gpus > 0));
  count(stoppable_, indexed.stoppable, priority_if(job, running && !job.is_gang()));
}

void JobIndex::remove(Job& job) {
  Indexed& indexed = job.indexed;
  if (auto team = teams_.find(job.spec.team); team != teams_.end()) {
    if (indexed.ready) remove_ready(team->second, job);
    if (indexed.running) team->second.running[indexed.guaranteed].erase(&job);
  }
  waiting_.erase(&job);
  admission_candidates_.erase(&job);
  count(accelerator_users_, indexed.accelerator_user, std::nullopt);
  count(stoppable_, indexed.stoppable, std::nullopt);
  indexed = {};
}

const JobSet& JobIndex::running(const std::string& team, bool guaranteed) const {
  static const JobSet empty;
  auto found = teams_.find(team);
  return found == teams_.end() ? empty : found->second.running[guaranteed];
}

std::optional<Priority> JobIndex::highest_accelerator_priority() const {
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
