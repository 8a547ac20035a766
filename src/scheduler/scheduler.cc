#include "scheduler.h"

#include <algorithm>
#include <cmath>

#include "constants.h"
#include "mutation.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

Scheduler::Scheduler(SchedulerConfig config, std::uint64_t term, double now, std::uint64_t seed)
    : state_(std::move(config), term, now),
      reservations_(state_),
      random_(seed),
      search_(state_, reservations_),
      placement_(state_, search_, random_, *this),
      preemption_(state_, search_, random_),
      claims_(state_, search_, preemption_),
      cycle_(state_, reservations_, search_, placement_, preemption_, claims_),
      last_job_at_(now) {
  const SchedulerConfig& settings = state_.config();
  record_room_ = static_cast<std::size_t>((settings.record_kb > 0 ? settings.record_kb : settings.value_kb) *
                                          1024 * c::kRecordShare);
}

// ---------------------------------------------------------------- jobs

void Scheduler::put_job(const JobSpec& spec, std::uint64_t revision, bool cancelled, double now,
                        double age_s) {
  auto [job, fresh] = state_.add_job(spec.id);
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
  state_.mark_changed(spec.id);
  state_.request_cycle();
  if (cancelled && !job.cancelled) {
    job.cancelled = true;
    std::vector<int> unsent;
    for (auto& [index, a] : job.active)
      if (a.stage == Stage::Assigned) unsent.push_back(index);
    for (int index : unsent) unassign(job, index, now);
    for (auto& [index, a] : job.active) state_.request_stop(job, index, 0);
    ends(spec.id);
    cancel_dependents(spec.id);
  }
  state_.reindex(job);
}

void Scheduler::forget_job(const std::string& id) {
  Job* found = state_.job(id);
  if (!found) return;
  Job& job = *found;
  while (!job.active.empty()) unassign(job, job.active.begin()->first, 0);
  auto awaited = std::move(job.spec.dependencies);
  settle_job_failures(job);
  state_.remove_job(id);
  ending_.erase(id);
  // What still needs it learns of its end from the store.
  if (dependents_.count(id) && !outcomes_.count(id)) unknown_.insert(id);
  for (const auto& other : awaited) {
    dependency_met(id, other);
    if (Job* a = state_.job(other)) inherit(*a);
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
  a.reservation_expires_at = now + c::kReservationTimeout + 2 * state_.fetch_time(job.spec, m);
  mark_dirty(job, index, Urgency::Launch, now);
  a.generation = record_of(job, index).second.generation;
  state_.occupy(job, index, std::move(a), m);
  ++m.heat;
  state_.mark_changed(job.spec.id);
  state_.reindex(m, now);
  state_.reindex(job);
}

void Scheduler::unassign(Job& job, int index, double now) {
  auto it = job.active.find(index);
  if (it == job.active.end()) return;
  placement_.note_freed(it->second.zone, job.spec.need, now);
  state_.vacate(job, index, now);
  if (job.phase[index] == TaskPhase::Active) {
    job.phase[index] = TaskPhase::Queued;
    ++job.queued;
    job.cursor = std::min(job.cursor, index);
    mark_dirty(job, index, Urgency::Rest, now);
  }
  if (job.active.empty()) job.draining = false;
  state_.mark_changed(job.spec.id);
  state_.request_cycle();
  state_.reindex(job);
}

void Scheduler::abort_gang(Job& job, double now) {
  // All start or all release: what is not sent yet is taken back, the rest is stopped.
  std::vector<int> unsent;
  for (auto& [index, a] : job.active)
    if (a.stage == Stage::Assigned) unsent.push_back(index);
  for (int index : unsent) unassign(job, index, now);
  for (auto& [index, a] : job.active)
    if (!(job.draining && a.stop)) state_.request_stop(job, index, 0);
}

void Scheduler::task_done(Job& job, int index, double now) {
  auto finish = [&](int i) {
    if (job.phase[i] == TaskPhase::Done) return;
    if (job.phase[i] == TaskPhase::Queued) --job.queued;
    job.phase[i] = TaskPhase::Done;
    ++job.done;
    unassign(job, i, now);
    state_.reindex(job);
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
  for (int i = 0; job.gang_completed() && i < job.spec.tasks; ++i)
    if (all || job.phase[i] == TaskPhase::Queued) finish(i);
  job.why.clear();
  if (job.over() && ends(job.spec.id)) reservations_.served(job.spec.job_class, job.spec.team, now);
}

void Scheduler::exited(Job& job, int index, const TaskStatus& t, Machine& m, double now) {
  auto it = job.active.find(index);
  if (it == job.active.end()) return;
  if ((t.why == ExitReason::Done || job.gang_completed()) && !job.cancelled) {
    went_well(m, job);
    task_done(job, index, now);
    return;
  }
  switch (t.why) {
    case ExitReason::Error:
      failed(m, job, now);
      break;
    case ExitReason::NoRoom:
      m.no_capacity_until = now + state_.config().report_s;
      break;
    case ExitReason::Busy:
    case ExitReason::Unknown:
      job.not_before = std::max(job.not_before, now + state_.config().report_s);
      break;
    default:
      break;
  }
  unassign(job, index, now);
  if (job.spec.kind == JobKind::Gang) abort_gang(job, now);
}

void Scheduler::gone(const TaskId& key, const char* why, double now) {
  Job* job = state_.job(key.job);
  if (!job) return;
  if (job->gang_completed()) return task_done(*job, key.index, now);
  if (job->why.empty()) job->why = std::string("its machine ") + why + "; started again";
  unassign(*job, key.index, now);
  if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
}

void Scheduler::lose_all_tasks(Machine& m, const char* why, double now, std::uint64_t before_epoch) {
  auto tasks = m.tasks;
  for (const auto& key : tasks) {
    Job* job = state_.job(key.job);
    auto it = job ? job->active.find(key.index) : decltype(job->active.find(0)){};
    if (!job || it == job->active.end() || it->second.worker_epoch >= before_epoch) continue;
    gone(key, why, now);
  }
  std::erase_if(m.outbox, [&](const TaskId& k) { return m.tasks.count(k) == 0; });
}

// ---------------------------------------------------------------- time

std::vector<std::string> Scheduler::machines_with_expired_leases(double now) const {
  std::vector<std::string> out;
  double lease = state_.config().lease_s * (1 + c::kClockDrift) + c::kProofMargin;
  if (mutation_enabled("half a lease counts as a whole one")) lease /= 2;
  std::uint64_t base = state_.first_number();
  for (const auto& [name, m] : state_.machines()) {
    if (m.tasks.empty()) continue;
    // The last moment anybody could have renewed this worker's lease: us, a keeper, or a former leader that
    // has lost the state service and keeps tasks alive for a while, unless the worker already obeys our term.
    double life = std::max({m.last_answered, m.last_launch, m.renewed_by_proxy_until});
    life = std::max(life, m.observed_token >= base ? m.fencing_token_raised_at
                                                   : state_.started_at() + state_.config().keepalive());
    if (now > life + lease) out.push_back(name);
  }
  return out;
}

void Scheduler::renewed_by_proxy(const std::string& name, double until) {
  if (Machine* m = state_.machine(name))
    m->renewed_by_proxy_until = std::max(m->renewed_by_proxy_until, until);
}

void Scheduler::lease_expired(const std::string& name, double now) {
  Machine* m = state_.machine(name);
  if (!m) return;
  state_.note("machine " + name + " is silent past its lease: its tasks start elsewhere");
  lose_all_tasks(*m, "was silent past its lease", now);
}

void Scheduler::process_stalled(double now) {
  listened_since_ = now;
  // Workers may have found another controller meanwhile, and come back one by one.
  for (const auto& zone : state_.config().zones)
    cut_until_[zone] = std::max(cut_until_[zone], now + state_.config().lease_s);
  for (auto& [id, job] : state_.jobs())
    for (auto& [index, a] : job.active)
      a.reservation_expires_at =
          std::max(a.reservation_expires_at, now + state_.config().report_s * c::kDeadReports);
}

void Scheduler::tick(double now) {
  if (!state_.jobs().empty()) last_job_at_ = now;
  std::map<std::string, std::pair<int, int>> silent;  // zone -> silent, all
  any_silent_ = false;
  for (auto& [name, m] : state_.machines()) {
    if (!m.up || m.decommissioning) continue;
    auto& [s, all] = silent[m.zone];
    ++all;
    bool quiet = now - m.last_heard > c::kSilentReports * state_.config().report_s;
    s += quiet;
    any_silent_ |= quiet;
  }
  for (const auto& [zone, counts] : silent)
    if (counts.first > std::max(1.0, c::kMaxSilentShare * counts.second))
      cut_until_[zone] = now + state_.config().lease_s;
  for (auto& [name, m] : state_.machines()) {
    if (!m.direct && now >= m.next_probe_at && m.up) {
      m.direct = true;
      state_.mark_for_dispatch(name);
    }
    if (m.up && !m.decommissioning && now - m.last_heard > c::kDeadReports * state_.config().report_s &&
        now - std::max(state_.started_at(), listened_since_) > c::kDeadReports * state_.config().report_s) {
      // One or two silent machines are broken; many at once mean that the network is, and they come back one
      // by one. Nor is one broken that a keeper answers: its tasks run on beyond a cut.
      if (now >= cut_until_[m.zone] && now >= m.renewed_by_proxy_until) {
        state_.note("machine " + name + " is silent: returned to the cloud");
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
  state_.remove_unknown_machines();
  for (auto& [id, job] : state_.jobs()) {
    if (job.why != job.logged_why) {
      if (!job.why.empty()) state_.note("job " + id + " (" + job.spec.job_class + "): " + job.why);
      job.logged_why = job.why;
    }
    std::vector<int> expired;
    for (auto& [index, a] : job.active) {
      bool unstarted = a.stage == Stage::Sent || a.stage == Stage::Fetching || a.stage == Stage::Waiting;
      if (unstarted && !a.stop && now > a.reservation_expires_at) expired.push_back(index);
    }
    for (int index : expired) {
      job.why = "a reservation lapsed before the task had started; placed again";
      state_.request_stop(job, index, 0);
    }
    if (job.queued && job.not_before > 0 && now >= job.not_before) {
      job.not_before = 0;
      state_.request_cycle();
    }
  }
}

// ---------------------------------------------------------------- machines

void Scheduler::provisioned(const std::string& name, const std::string& type, const std::string& zone,
                            bool spot, double now) {
  if (returned_.count(name)) return;
  auto [m, fresh] = state_.add_machine(name, now);
  if (!fresh) return;
  m.type = type;
  m.zone = zone;
  m.spot = spot;
  if (const auto* t = state_.type(type)) m.size = m.free = t->size;
}

void Scheduler::listed(const std::vector<ListedMachine>& list, double now) {
  for (const auto& l : list) {
    provisioned(l.name, l.type, l.zone, l.spot, now - l.age_s);
    if (returned_.count(l.name)) continue;
    Machine& m = state_.machines().at(l.name);
    if (m.type.empty()) {  // known so far only from a task's record
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
    }
    if (m.address.empty()) m.address = l.address;
    if (l.phase == ListedMachine::Phase::Failed && !m.decommissioning) {
      state_.note("machine " + l.name + " failed on its own: returned");
      decommission(l.name, now);
    }
    const auto* t = state_.type(m.type);
    if (!m.up && !m.decommissioning && t &&
        now - m.provisioned_at > c::kBootLate * t->boot_s + c::kBootGrace &&
        now - std::max(state_.started_at(), listened_since_) > c::kDeadReports * state_.config().report_s) {
      state_.note("machine " + l.name + " never came up: returned");
      decommission(l.name, now);
    }
  }
}

void Scheduler::decommission(const std::string& name, double now) {
  Machine* m = state_.machine(name);
  if (!m || m->decommissioning) return;
  m->decommissioning = true;
  for (const auto& [id, index] : std::set<TaskId>(m->tasks)) {
    Job* job = state_.job(id);
    if (!job) continue;
    auto f = job->active.find(index);
    if (f != job->active.end() && f->second.stage == Stage::Assigned) {
      unassign(*job, index, now);
      if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
    }
  }
  state_.reindex(*m, now);
}

std::vector<std::string> Scheduler::decommissioning() const {
  std::vector<std::string> out;
  for (const auto& [name, m] : state_.machines())
    if (m.decommissioning) out.push_back(name);
  return out;
}

void Scheduler::deleted(const std::vector<std::string>& names, double now) {
  for (const auto& name : names) {
    Machine* m = state_.machine(name);
    if (!m) continue;
    // The cloud's 200 is proof: the machine and everything on it are gone.
    lose_all_tasks(*m, "was returned", now);
    state_.remove_machine(name);
    returned_.insert(name);
    // Names rise with creation: the oldest are the first that nobody speaks of any more.
    if (returned_.size() > c::kReturnedNames) returned_.erase(returned_.begin());
  }
}

}  // namespace corkmux
