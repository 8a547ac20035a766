#include "job_index.h"

#include "scheduler.h"

namespace corkmux {
namespace {

Resources whole(const Job& job) {
  const auto n = static_cast<double>(job.spec.tasks);
  return {job.spec.need.cpus * n, job.spec.need.gpus * n, 0};
}

void put(JobSet& set, Job& job, bool in) {
  if (in)
    set.insert(&job);
  else
    set.erase(&job);
}

}  // namespace

bool ByOrder::operator()(const Job* a, const Job* b) const {
  return a->order != b->order ? a->order < b->order : a->spec.id < b->spec.id;
}

JobIndex::JobIndex(const std::vector<Team>& teams) {
  for (const auto& team : teams) teams_.try_emplace(team.name, team);
}

void JobIndex::mark(Ledger& l, Job& job, bool guaranteed) {
  ++steps_;
  if (job.indexed.running) {
    l.running[job.indexed.guaranteed].erase(&job);
    l.running[guaranteed].insert(&job);
  }
  job.indexed.guaranteed = guaranteed;
}

void JobIndex::enter(Ledger& l, Job& job) {
  ++steps_;
  l.jobs.insert(&job);
  // Behind the first that is beyond, it is beyond as well.
  if (l.beyond != l.jobs.end() && !ByOrder{}(&job, *l.beyond)) return;
  l.within += whole(job);
  mark(l, job, true);
  // What it pushes out is the latest of those within; that may be itself.
  while (!l.team.guarantees(l.within) && l.beyond != l.jobs.begin()) {
    --l.beyond;
    l.within -= whole(**l.beyond);
    mark(l, **l.beyond, false);
  }
  if (l.beyond == l.jobs.begin()) l.within = {};
}

void JobIndex::leave(Ledger& l, Job& job) {
  ++steps_;
  if (job.indexed.guaranteed) {
    l.within -= whole(job);
    mark(l, job, false);
  }
  auto it = l.jobs.find(&job);
  if (it == l.jobs.end()) return;
  if (l.beyond == it) ++l.beyond;
  l.jobs.erase(it);
  if (l.beyond == l.jobs.begin()) l.within = {};
  for (; l.beyond != l.jobs.end(); ++l.beyond) {
    Resources more = l.within;
    more += whole(**l.beyond);
    if (!l.team.guarantees(more)) break;
    l.within = more;
    mark(l, **l.beyond, true);
  }
}

void JobIndex::update(Job& job) {
  auto& x = job.indexed;
  const bool ready = job.ready(), waiting = ready && job.queued > 0;
  const bool promising = job.guarantee_admission == Job::GuaranteeAdmission::Granted ||
                         (job.guarantee_admission == Job::GuaranteeAdmission::Undecided && ready);
  const bool running = !job.active.empty();
  auto team = teams_.find(job.spec.team);
  if (ready != x.ready) {
    x.ready = ready;
    if (team != teams_.end()) ready ? enter(team->second, job) : leave(team->second, job);
  }
  if (running != x.running) {
    x.running = running;
    if (team != teams_.end()) put(team->second.running[x.guaranteed], job, running);
  }
  if (waiting != x.waiting) put(waiting_, job, x.waiting = waiting);
  if (promising != x.promising) put(promising_, job, x.promising = promising);
  auto count = [](std::array<int, 4>& counts, int& under, int now) {
    if (under == now) return;
    if (under >= 0) --counts[static_cast<std::size_t>(under)];
    if (now >= 0) ++counts[static_cast<std::size_t>(now)];
    under = now;
  };
  const int priority = static_cast<int>(job.priority);
  count(accelerator_users_, x.accelerator_user, ready && job.spec.need.gpus > 0 ? priority : -1);
  count(stoppable_, x.stoppable, running && job.spec.kind != JobKind::Gang ? priority : -1);
}

void JobIndex::remove(Job& job) {
  auto& x = job.indexed;
  if (auto team = teams_.find(job.spec.team); team != teams_.end()) {
    if (x.ready) leave(team->second, job);
    if (x.running) team->second.running[x.guaranteed].erase(&job);
  }
  waiting_.erase(&job);
  promising_.erase(&job);
  if (x.accelerator_user >= 0) --accelerator_users_[static_cast<std::size_t>(x.accelerator_user)];
  if (x.stoppable >= 0) --stoppable_[static_cast<std::size_t>(x.stoppable)];
  x = {};
}

const JobSet& JobIndex::running(const std::string& team, bool guaranteed) const {
  static const JobSet none;
  auto t = teams_.find(team);
  return t == teams_.end() ? none : t->second.running[guaranteed];
}

std::optional<Priority> JobIndex::accelerator_users() const {
  for (int p = 3; p >= 0; --p)
    if (accelerator_users_[static_cast<std::size_t>(p)] > 0) return static_cast<Priority>(p);
  return std::nullopt;
}

std::optional<Priority> JobIndex::lowest_stoppable() const {
  for (int p = 0; p < 4; ++p)
    if (stoppable_[static_cast<std::size_t>(p)] > 0) return static_cast<Priority>(p);
  return std::nullopt;
}

}  // namespace corkmux
