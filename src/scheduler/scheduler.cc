#include "scheduler.h"

#include <algorithm>
#include <cmath>

#include "constants.h"
#include "mutation.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

double SchedulerConfig::keepalive() const {
  // A cancel that a cut-off holder cannot see must still be met: its workers' leases have to run out in time.
  return std::max(0.0, cancel_s - lease_s * (1 + c::kClockDrift) - c::kCancelReserve);
}

int SchedulerConfig::tasks_per_v1_record() const {
  if (v1_tasks_per_record > 0) return v1_tasks_per_record;
  constexpr double kBytesPerTask = 96,
                   kUsable = 0.8;  // a record's worst case as JSON, share of the limit used
  return std::clamp(static_cast<int>(value_kb * 1024 * kUsable / kBytesPerTask), 1, 256);
}

Scheduler::Scheduler(SchedulerConfig config, std::uint64_t term, double now, std::uint64_t seed)
    : config_(std::move(config)),
      term_(term),
      started_(now),
      rng_(seed),
      job_index_(config_.teams),
      last_job_at_(now) {
  record_room_ = static_cast<std::size_t>((config_.record_kb > 0 ? config_.record_kb : config_.value_kb) *
                                          1024 * c::kRecordShare);
  for (const auto& team : config_.teams) teams_[team.name] = team;
}

void Scheduler::set_catalog(const std::vector<MachineType>& types) { types_ = types; }
const MachineType* Scheduler::type(const std::string& name) const {
  for (const auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}
Job* Scheduler::job(const std::string& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}
Machine* Scheduler::machine(const std::string& name) {
  auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}
Resources Scheduler::team_use(const std::string& team) const {
  auto it = use_.find(team);
  return it == use_.end() ? Resources{} : it->second;
}

// ---------------------------------------------------------------- jobs

void Scheduler::put_job(const JobSpec& spec, std::uint64_t revision, bool cancelled, double now,
                        double age_s) {
  auto [it, fresh] = jobs_.try_emplace(spec.id);
  Job& job = it->second;
  job.revision = revision;
  if (fresh) {
    unknown_.erase(spec.id);
    job.spec = spec;
    job.priority = spec.priority;
    job.order = revision;
    job.accepted_at = job.ready_at = now - age_s;
    job.phase.assign(static_cast<std::size_t>(spec.tasks), TaskPhase::Queued);
    job.queued = spec.tasks;
    if (age_s < c::kFreshArrival) {  // older ones were loaded, and say nothing of what comes next
      if (last_arrival_ >= 0) {
        double gap = now - last_arrival_;
        arrival_gap_ = arrival_gap_ > 0 ? arrival_gap_ + c::kGapSmoothing * (gap - arrival_gap_) : gap;
      }
      last_arrival_ = now;
    }
    await(job);
  }
  changed_.insert(spec.id);
  wants_cycle_ = true;
  if (cancelled && !job.cancelled) {
    job.cancelled = true;
    std::vector<int> unsent;
    for (auto& [index, a] : job.active)
      if (a.stage == Stage::Assigned) unsent.push_back(index);
    for (int index : unsent) unassign(job, index, now);
    for (auto& [index, a] : job.active) stop_task(job, index, 0);
    ends(spec.id);
    cancel_dependents(spec.id);
  }
  job_index_.update(job);
}

void Scheduler::forget_job(const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  while (!job.active.empty()) unassign(job, job.active.begin()->first, 0);
  auto awaited = std::move(job.spec.dependencies);
  settle_job_failures(job);
  job_index_.remove(job);
  jobs_.erase(it);
  changed_.erase(id);
  ending_.erase(id);
  // What still needs it learns of its end from the store.
  if (dependents_.count(id) && !outcomes_.count(id)) unknown_.insert(id);
  for (const auto& other : awaited) {
    dependency_met(id, other);
    if (Job* a = this->job(other)) inherit(*a);
  }
}

int Scheduler::running(const Job& job) const {
  int n = 0;
  for (const auto& [i, a] : job.active) n += a.stage == Stage::Running || a.stage == Stage::Saving;
  return n;
}
std::string Scheduler::reason(const Job& job) const {
  return job.queued > 0 || !job.failed_on.empty() ? job.why : "";
}

void Scheduler::assign(Job& job, int index, Machine& m, std::uint64_t attempt, double now) {
  ActiveTask a;
  a.attempt = attempt;
  a.machine = m.name;
  a.zone = m.zone;
  a.worker_epoch = m.worker_epoch;
  a.since = now;
  a.minimum_token = ~0ull;
  a.reservation_expires_at = now + c::kReservationTimeout + 2 * fetch_time(job.spec, m);
  mark_dirty(job, index, Urgency::Launch, now);
  a.generation = record_of(job, index).second.generation;
  job.active[index] = a;
  job.phase[index] = TaskPhase::Active;
  --job.queued;
  m.tasks.insert({job.spec.id, index});
  m.free -= job.spec.need;
  ++m.heat;
  use_[job.spec.team] += job.spec.need;
  class_use_[job.spec.job_class] += job.spec.need;
  changed_.insert(job.spec.id);
  count_task(m, job, a, 1);
  reindex(m, now);
  job_index_.update(job);
}

void Scheduler::count_task(Machine& m, const Job& job, const ActiveTask& a, int by) {
  if (a.stop)
    m.stopping += by;
  else if (job.spec.kind != JobKind::Gang)
    m.stoppable[static_cast<std::size_t>(job.priority)] += by;
  capacity_index_.note_tasks(m);
}

MachineCapacity Scheduler::machine_capacity(const Machine& m, double now) const {
  const double silent_at = m.last_heard + c::kSilentReports * config_.report_s;
  using Use = MachineCapacity::Use;
  if (!takes_work(m) || now >= silent_at) return {};
  auto until = [&](Use use, double at) { return MachineCapacity{use, "", std::min(at, silent_at)}; };
  if (now < m.no_capacity_until) return until(Use::Out, m.no_capacity_until);
  if (now < m.nominated_until) {
    MachineCapacity kept = until(Use::Kept, m.nominated_until);
    kept.kept_for = m.nominated_job;
    return kept;
  }
  return now < m.cordoned_until ? until(Use::Suspect, m.cordoned_until) : until(Use::Ready, silent_at);
}

void Scheduler::reindex(Machine& m, double now) {
  capacity_index_.update(m, machine_capacity(m, now), slack(m, m.free));
}

void Scheduler::unassign(Job& job, int index, double now) {
  auto it = job.active.find(index);
  if (it == job.active.end()) return;
  Machine* m = machine(it->second.machine);
  if (m) {
    m->tasks.erase({job.spec.id, index});
    m->free += job.spec.need;
    if (m->tasks.empty()) {
      m->idle_since = now;
      m->free = m->size;
    }
    std::erase(m->outbox, TaskKey{job.spec.id, index});
    count_task(*m, job, it->second, -1);
    reindex(*m, now);
  }
  note_freed(it->second.zone, job.spec.need, now);
  if (it->second.stop) stopping_use_[job.spec.team] -= job.spec.need;
  job.active.erase(it);
  use_[job.spec.team] -= job.spec.need;
  // Classes are whatever users call them: of those that use nothing, nothing is kept.
  if (auto use = class_use_.find(job.spec.job_class); use != class_use_.end())
    if ((use->second -= job.spec.need).cpus < 1e-6 && use->second.memory_gb < 1e-6) class_use_.erase(use);
  if (job.phase[index] == TaskPhase::Active) {
    job.phase[index] = TaskPhase::Queued;
    ++job.queued;
    job.cursor = std::min(job.cursor, index);
    mark_dirty(job, index, Urgency::Rest, now);
  }
  if (job.active.empty()) job.draining = false;
  changed_.insert(job.spec.id);
  wants_cycle_ = true;
  job_index_.update(job);
}

void Scheduler::stop_task(Job& job, int index, double grace_s) {
  auto it = job.active.find(index);
  if (it == job.active.end()) return;
  ActiveTask& a = it->second;
  if (a.stop && a.grace_s <= grace_s) return;
  Machine* m = machine(a.machine);
  if (!a.stop) {
    if (m) count_task(*m, job, a, -1);
    a.stop = true;
    if (m) count_task(*m, job, a, 1);
    stopping_use_[job.spec.team] += job.spec.need;
  }
  a.grace_s = grace_s;
  if (m) {
    m->needs_dispatch = true;
    dispatch_candidates_.insert(m->name);
  }
}

void Scheduler::abort_gang(Job& job, double now) {
  // All start or all release: what is not sent yet is taken back, the rest is stopped.
  std::vector<int> unsent;
  for (auto& [index, a] : job.active)
    if (a.stage == Stage::Assigned) unsent.push_back(index);
  for (int index : unsent) unassign(job, index, now);
  for (auto& [index, a] : job.active)
    if (!(job.draining && a.stop)) stop_task(job, index, 0);
}

void Scheduler::task_done(Job& job, int index, double now) {
  auto finish = [&](int i) {
    if (job.phase[i] == TaskPhase::Done) return;
    if (job.phase[i] == TaskPhase::Queued) --job.queued;
    job.phase[i] = TaskPhase::Done;
    ++job.done;
    unassign(job, i, now);
    job_index_.update(job);
    mark_dirty(job, i, Urgency::Rest, now);
  };
  if (job.spec.kind == JobKind::Service) {  // a replica that ended is started again
    unassign(job, index, now);
    return;
  }
  finish(index);
  // PROTOCOL "Gangs": they complete together. Guards against quota that is taken for free: that a mate is
  // done does not say that it has left a machine which hangs or cannot be reached. So each counts as done,
  // and its place as empty, by its own report or another proof that it is gone.
  const bool all = mutation_enabled("a gang that is done has left all machines");
  for (int i = 0; complete(job) && i < job.spec.tasks; ++i)
    if (all || job.phase[i] == TaskPhase::Queued) finish(i);
  job.why.clear();
  if (job.over() && ends(job.spec.id)) reserved_capacity_.served(job.spec.job_class, job.spec.team, now);
}

bool Scheduler::complete(const Job& job) const {
  return job.spec.kind == JobKind::Gang && job.done > 0 && !job.cancelled;
}

void Scheduler::exited(Job& job, int index, const TaskStatus& t, Machine& m, double now) {
  auto it = job.active.find(index);
  if (it == job.active.end()) return;
  if ((t.why == ExitReason::Done || complete(job)) && !job.cancelled) {
    went_well(m, job);
    task_done(job, index, now);
    return;
  }
  switch (t.why) {
    case ExitReason::Error:
      failed(m, job, now);
      break;
    case ExitReason::NoRoom:
      m.no_capacity_until = now + config_.report_s;
      break;
    case ExitReason::Busy:
    case ExitReason::Unknown:
      job.not_before = std::max(job.not_before, now + config_.report_s);
      break;
    default:
      break;
  }
  unassign(job, index, now);
  if (job.spec.kind == JobKind::Gang) abort_gang(job, now);
}

void Scheduler::gone(const TaskKey& key, const char* why, double now) {
  Job* job = this->job(key.first);
  if (!job) return;
  if (complete(*job)) return task_done(*job, key.second, now);
  if (job->why.empty()) job->why = std::string("its machine ") + why + "; started again";
  unassign(*job, key.second, now);
  if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
}

void Scheduler::lose_all_tasks(Machine& m, const char* why, double now, std::uint64_t before_epoch) {
  auto tasks = m.tasks;
  for (const auto& key : tasks) {
    Job* job = this->job(key.first);
    auto it = job ? job->active.find(key.second) : decltype(job->active.find(0)){};
    if (!job || it == job->active.end() || it->second.worker_epoch >= before_epoch) continue;
    gone(key, why, now);
  }
  std::erase_if(m.outbox, [&](const TaskKey& k) { return m.tasks.count(k) == 0; });
}

// ---------------------------------------------------------------- time

std::vector<std::string> Scheduler::machines_with_expired_leases(double now) const {
  std::vector<std::string> out;
  double lease = config_.lease_s * (1 + c::kClockDrift) + c::kProofMargin;
  if (mutation_enabled("half a lease counts as a whole one")) lease /= 2;
  std::uint64_t base = term_ << c::kTermShift;
  for (const auto& [name, m] : machines_) {
    if (m.tasks.empty()) continue;
    // The last moment anybody could have renewed this worker's lease: us, a keeper, or a former leader that
    // has lost the state service and keeps tasks alive for a while, unless the worker already obeys our term.
    double life = std::max({m.last_answered, m.last_launch, m.renewed_by_proxy_until});
    life =
        std::max(life, m.observed_token >= base ? m.fencing_token_raised_at : started_ + config_.keepalive());
    if (now > life + lease) out.push_back(name);
  }
  return out;
}

void Scheduler::renewed_by_proxy(const std::string& name, double until) {
  if (Machine* m = machine(name)) m->renewed_by_proxy_until = std::max(m->renewed_by_proxy_until, until);
}

void Scheduler::lease_expired(const std::string& name, double now) {
  Machine* m = machine(name);
  if (!m) return;
  notes_.push_back("machine " + name + " is silent past its lease: its tasks start elsewhere");
  lose_all_tasks(*m, "was silent past its lease", now);
}

void Scheduler::process_stalled(double now) {
  listened_since_ = now;
  // Workers may have found another controller meanwhile, and come back one by one.
  for (const auto& zone : config_.zones) cut_until_[zone] = std::max(cut_until_[zone], now + config_.lease_s);
  for (auto& [id, job] : jobs_)
    for (auto& [index, a] : job.active)
      a.reservation_expires_at = std::max(a.reservation_expires_at, now + config_.report_s * c::kDeadReports);
}

void Scheduler::tick(double now) {
  if (!jobs_.empty()) last_job_at_ = now;
  std::map<std::string, std::pair<int, int>> silent;  // zone -> silent, all
  any_silent_ = false;
  for (auto& [name, m] : machines_) {
    if (!m.up || m.decommissioning) continue;
    auto& [s, all] = silent[m.zone];
    ++all;
    bool quiet = now - m.last_heard > c::kSilentReports * config_.report_s;
    s += quiet;
    any_silent_ |= quiet;
  }
  for (const auto& [zone, counts] : silent)
    if (counts.first > std::max(1.0, c::kMaxSilentShare * counts.second))
      cut_until_[zone] = now + config_.lease_s;
  for (auto& [name, m] : machines_) {
    if (!m.direct && now >= m.next_probe_at && m.up) {
      m.direct = true;
      dispatch_candidates_.insert(name);
    }
    if (m.up && !m.decommissioning && now - m.last_heard > c::kDeadReports * config_.report_s &&
        now - std::max(started_, listened_since_) > c::kDeadReports * config_.report_s) {
      // One or two silent machines are broken; many at once mean that the network is, and they come back one
      // by one. Nor is one broken that a keeper answers: its tasks run on beyond a cut.
      if (now >= cut_until_[m.zone] && now >= m.renewed_by_proxy_until) {
        notes_.push_back("machine " + name + " is silent: returned to the cloud");
        decommission(name, now);
      }
    }
    judge_machine(m, now);
    if (m.faulty && !m.decommissioning) {
      drain(m, now);
      if (m.tasks.empty()) decommission(name, now);
    }
  }
  // Known only from a stored task, and now without any: nothing is left to remember.
  std::erase_if(machines_, [](const auto& e) {
    return !e.second.up && e.second.type.empty() && e.second.tasks.empty();
  });
  for (auto& [id, job] : jobs_) {
    if (job.why != job.why_told) {
      if (!job.why.empty()) notes_.push_back("job " + id + " (" + job.spec.job_class + "): " + job.why);
      job.why_told = job.why;
    }
    std::vector<int> machines_with_expired_leases;
    for (auto& [index, a] : job.active) {
      bool unstarted = a.stage == Stage::Sent || a.stage == Stage::Fetching || a.stage == Stage::Waiting;
      if (unstarted && !a.stop && now > a.reservation_expires_at)
        machines_with_expired_leases.push_back(index);
    }
    for (int index : machines_with_expired_leases) {
      job.why = "a reservation lapsed before the task had started; placed again";
      stop_task(job, index, 0);
    }
    if (job.queued && job.not_before > 0 && now >= job.not_before) {
      job.not_before = 0;
      wants_cycle_ = true;
    }
  }
}

// ---------------------------------------------------------------- machines

void Scheduler::provisioned(const std::string& name, const std::string& type, const std::string& zone,
                            bool spot, double now) {
  if (returned_.count(name)) return;
  auto [it, fresh] = machines_.try_emplace(name);
  Machine& m = it->second;
  if (!fresh) return;
  m.name = name;
  m.type = type;
  m.zone = zone;
  m.spot = spot;
  raise_fencing_token(m);
  m.provisioned_at = now;
  if (const auto* t = this->type(type)) m.size = m.free = t->size;
}

void Scheduler::listed(const std::vector<ListedMachine>& list, double now) {
  for (const auto& l : list) {
    provisioned(l.name, l.type, l.zone, l.spot, now - l.age_s);
    if (returned_.count(l.name)) continue;
    Machine& m = machines_.at(l.name);
    if (m.type.empty()) {  // known so far only from a task's record
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
    }
    if (m.address.empty()) m.address = l.address;
    if (l.phase == ListedMachine::Phase::Failed && !m.decommissioning) {
      notes_.push_back("machine " + l.name + " failed on its own: returned");
      decommission(l.name, now);
    }
    const auto* t = type(m.type);
    if (!m.up && !m.decommissioning && t &&
        now - m.provisioned_at > c::kBootLate * t->boot_s + c::kBootGrace &&
        now - std::max(started_, listened_since_) > c::kDeadReports * config_.report_s) {
      notes_.push_back("machine " + l.name + " never came up: returned");
      decommission(l.name, now);
    }
  }
}

void Scheduler::decommission(const std::string& name, double now) {
  Machine* m = machine(name);
  if (!m || m->decommissioning) return;
  m->decommissioning = true;
  for (const auto& [id, index] : std::set<TaskKey>(m->tasks)) {
    Job* job = this->job(id);
    if (!job) continue;
    auto f = job->active.find(index);
    if (f != job->active.end() && f->second.stage == Stage::Assigned) {
      unassign(*job, index, now);
      if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
    }
  }
  reindex(*m, now);
}

std::vector<std::string> Scheduler::decommissioning() const {
  std::vector<std::string> out;
  for (const auto& [name, m] : machines_)
    if (m.decommissioning) out.push_back(name);
  return out;
}

void Scheduler::deleted(const std::vector<std::string>& names, double now) {
  for (const auto& name : names) {
    Machine* m = machine(name);
    if (!m) continue;
    // The cloud's 200 is proof: the machine and everything on it are gone.
    lose_all_tasks(*m, "was returned", now);
    capacity_index_.remove(*m);
    machines_.erase(name);
    returned_.insert(name);
    // Names rise with creation: the oldest are the first that nobody speaks of any more.
    if (returned_.size() > c::kReturnedNames) returned_.erase(returned_.begin());
  }
}

}  // namespace corkmux
