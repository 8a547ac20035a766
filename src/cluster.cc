#include "cluster.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

#include "constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

double ClusterConfig::keepalive() const {
  // A cancel that a cut-off holder cannot see must still be met: its workers' leases have to run out in time.
  return std::max(0.0, cancel_s - lease_s * (1 + c::kClockDrift) - c::kCancelReserve);
}

int ClusterConfig::tasks_per_shard() const {
  constexpr double kBytesPerTask = 96,
                   kUsable = 0.8;  // a record's worst case as JSON, share of the limit used
  return std::clamp(static_cast<int>(value_kb * 1024 * kUsable / kBytesPerTask), 1, 256);
}

Cluster::Cluster(ClusterConfig config, std::uint64_t term, double now, std::uint64_t seed)
    : config_(std::move(config)), term_(term), started_(now), rng_(seed) {
  for (const auto& team : config_.teams) teams_[team.name] = team;
}

void Cluster::set_catalog(const std::vector<MachineType>& types) { types_ = types; }
const MachineType* Cluster::type(const std::string& name) const {
  for (const auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}
Job* Cluster::job(const std::string& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}
Machine* Cluster::machine(const std::string& name) {
  auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}
Resources Cluster::team_use(const std::string& team) const {
  auto it = use_.find(team);
  return it == use_.end() ? Resources{} : it->second;
}

// ---------------------------------------------------------------- jobs

void Cluster::put_job(const JobSpec& spec, std::uint64_t version, bool cancelled, double now, double age_s) {
  auto [it, fresh] = jobs_.try_emplace(spec.id);
  Job& job = it->second;
  job.version = version;
  if (fresh) {
    job.spec = spec;
    job.order = version;
    job.accepted_at = now - age_s;
    job.phase.assign(static_cast<std::size_t>(spec.tasks), TaskPhase::Queued);
    job.queued = spec.tasks;
  }
  changed_.insert(spec.id);
  want_plan_ = true;
  if (cancelled && !job.cancelled) {
    job.cancelled = true;
    std::vector<int> unsent;
    for (auto& [index, a] : job.active)
      if (a.stage == Stage::Assigned) unsent.push_back(index);
    for (int index : unsent) unassign(job, index, now);
    for (auto& [index, a] : job.active) stop_task(job, index, 0);
  }
}

bool Cluster::load_shard(const std::string& id, int shard, const nlohmann::json& value,
                         std::uint64_t version) {
  Job* job = this->job(id);
  if (!job || shard < 0) return false;
  Shard& s = job->shards[shard];
  s.version = version;
  int base = shard * config_.tasks_per_shard();
  auto mark_done = [&](int index) {
    if (index < 0 || index >= job->spec.tasks || job->phase[index] != TaskPhase::Queued) return;
    job->phase[index] = TaskPhase::Done;
    --job->queued;
    ++job->done;
  };
  if (auto d = value.find("d"); d != value.end() && d->is_array())
    for (const auto& range : *d)
      for (int i = range.at(0); i <= range.at(1).get<int>(); ++i) mark_done(base + i);
  if (auto t = value.find("t"); t != value.end() && t->is_object())
    for (const auto& [key, record] : t->items()) {
      int index = base + std::stoi(key);
      if (index >= job->spec.tasks || job->phase[index] != TaskPhase::Queued) continue;
      ActiveTask a;
      a.attempt = record.at(0);
      a.machine = record.at(1);
      a.session = record.at(2);
      a.zone = record.at(3);
      a.stage = Stage::Recovered;
      a.since = started_;
      a.lapse_at = started_ + c::kReservation * 4;
      auto [m, fresh] = machines_.try_emplace(a.machine);
      if (fresh) {
        m->second.name = a.machine;
        m->second.token = next_number();
        m->second.rented_at = started_;
      }
      // Guards against a second start: a launch of the former holder may still arrive, so only a report that
      // already carries our token can show that the task is absent.
      a.fence = m->second.token;
      m->second.tasks.insert({id, index});
      m->second.free -= job->spec.need;
      job->active[index] = a;
      job->phase[index] = TaskPhase::Active;
      --job->queued;
      use_[job->spec.team] += job->spec.need;
      if (job->cancelled) stop_task(*job, index, 0);
    }
  return true;
}

void Cluster::forget_job(const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  while (!job.active.empty()) unassign(job, job.active.begin()->first, 0);
  jobs_.erase(it);
  changed_.erase(id);
}

int Cluster::running(const Job& job) const {
  int n = 0;
  for (const auto& [i, a] : job.active) n += a.stage == Stage::Running || a.stage == Stage::Saving;
  return n;
}
std::string Cluster::reason(const Job& job) const {
  return job.queued > 0 || job.failures > 0 ? job.why : "";
}

void Cluster::dirty(Job& job, int index) {
  int n = index / config_.tasks_per_shard();
  Shard& s = job.shards[n];
  if (s.gen == s.written_gen && !s.in_flight) dirty_.push_back({job.spec.id, n});
  ++s.gen;
}

void Cluster::assign(Job& job, int index, Machine& m, std::uint64_t attempt, double now) {
  ActiveTask a;
  a.attempt = attempt;
  a.machine = m.name;
  a.zone = m.zone;
  a.session = m.session;
  a.since = now;
  a.fence = ~0ull;
  a.lapse_at = now + c::kReservation + 2 * fetch_time(job.spec, m);
  dirty(job, index);
  a.gen = job.shards[index / config_.tasks_per_shard()].gen;
  job.active[index] = a;
  job.phase[index] = TaskPhase::Active;
  --job.queued;
  m.tasks.insert({job.spec.id, index});
  m.free -= job.spec.need;
  ++m.heat;
  use_[job.spec.team] += job.spec.need;
  changed_.insert(job.spec.id);
}

void Cluster::unassign(Job& job, int index, double now) {
  auto it = job.active.find(index);
  if (it == job.active.end()) return;
  if (Machine* m = machine(it->second.machine)) {
    m->tasks.erase({job.spec.id, index});
    m->free += job.spec.need;
    if (m->tasks.empty()) {
      m->idle_since = now;
      m->free = m->size;
    }
    std::erase(m->outbox, TaskKey{job.spec.id, index});
  }
  job.active.erase(it);
  use_[job.spec.team] -= job.spec.need;
  if (job.phase[index] == TaskPhase::Active) {
    job.phase[index] = TaskPhase::Queued;
    ++job.queued;
    job.cursor = std::min(job.cursor, index);
    dirty(job, index);
  }
  if (job.active.empty()) job.draining = false;
  changed_.insert(job.spec.id);
  want_plan_ = true;
}

void Cluster::stop_task(Job& job, int index, double grace_s) {
  auto it = job.active.find(index);
  if (it == job.active.end()) return;
  ActiveTask& a = it->second;
  if (a.stop && a.grace_s <= grace_s) return;
  a.stop = true;
  a.grace_s = grace_s;
  if (Machine* m = machine(a.machine)) m->wants_orders = true;
}

void Cluster::abort_gang(Job& job, double now) {
  // All start or all release: what is not sent yet is taken back, the rest is stopped.
  std::vector<int> unsent;
  for (auto& [index, a] : job.active)
    if (a.stage == Stage::Assigned) unsent.push_back(index);
  for (int index : unsent) unassign(job, index, now);
  for (auto& [index, a] : job.active)
    if (!(job.draining && a.stop)) stop_task(job, index, 0);
}

void Cluster::task_done(Job& job, int index, double now) {
  auto finish = [&](int i) {
    if (job.phase[i] == TaskPhase::Done) return;
    if (job.phase[i] == TaskPhase::Queued) --job.queued;
    job.phase[i] = TaskPhase::Done;
    ++job.done;
    unassign(job, i, now);
    dirty(job, i);
  };
  if (job.spec.kind == JobKind::Service) {  // a replica that ended is started again
    unassign(job, index, now);
    return;
  }
  finish(index);
  // PROTOCOL "Gangs": they complete together: if one task is done, they all are.
  if (job.spec.kind == JobKind::Gang)
    for (int i = 0; i < job.spec.tasks; ++i) finish(i);
  job.why.clear();
}

void Cluster::machine_error(Machine& m, Job& job, double now) {
  job.failed_on.insert(m.name);
  ++job.failures;
  // A job that failed on several machines is its own fault; it must not take machines down with it.
  bool bad_job = static_cast<int>(job.failed_on.size()) >= c::kBadJobMachines;
  job.not_before =
      now + (job.failures < c::kBadJobMachines
                 ? 0
                 : std::min(c::kErrorBackoffMax,
                            c::kErrorBackoff * std::pow(2.0, job.failures - c::kBadJobMachines)));
  job.why = bad_job ? "failed on " + std::to_string(job.failed_on.size()) +
                          " machines, most likely the job itself; tried again with pauses"
                    : "failed on " + m.name + ", started again elsewhere";
  if (bad_job) return;
  m.suspect_until = now + c::kSuspectTime;
  if (m.last_error_job != job.spec.id) ++m.errors;
  m.last_error_job = job.spec.id;
  if (m.errors >= c::kSickErrors && !m.sick) {
    m.sick = true;
    notes_.push_back("machine " + m.name + " fails work of different jobs: drained and returned");
  }
}

void Cluster::exited(Job& job, int index, const TaskReport& t, Machine& m, double now) {
  auto it = job.active.find(index);
  if (it == job.active.end()) return;
  if (t.why == ExitReason::Done && !job.cancelled) {
    m.errors = 0;
    m.suspect_until = -1e9;
    m.last_error_job.clear();
    task_done(job, index, now);
    return;
  }
  switch (t.why) {
    case ExitReason::Error:
      machine_error(m, job, now);
      break;
    case ExitReason::NoRoom:
      m.full_until = now + config_.report_s;
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

void Cluster::gone(const TaskKey& key, const char* why, double now) {
  Job* job = this->job(key.first);
  if (!job) return;
  if (job->why.empty()) job->why = std::string("its machine ") + why + "; started again";
  unassign(*job, key.second, now);
  if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
}

void Cluster::all_gone(Machine& m, const char* why, double now, std::uint64_t before_session) {
  auto tasks = m.tasks;
  for (const auto& key : tasks) {
    Job* job = this->job(key.first);
    auto it = job ? job->active.find(key.second) : decltype(job->active.find(0)){};
    if (!job || it == job->active.end() || it->second.session >= before_session) continue;
    gone(key, why, now);
  }
  std::erase_if(m.outbox, [&](const TaskKey& k) { return m.tasks.count(k) == 0; });
}

// ---------------------------------------------------------------- workers

Cluster::ReportResult Cluster::on_report(const Report& r, Channel channel, double now) {
  // Guards against ghosts: a held-back report of a machine that was returned must not revive it.
  if (returned_.count(r.machine)) return {};
  auto [it, fresh] = machines_.try_emplace(r.machine);
  Machine& m = it->second;
  if (fresh) {
    m.name = r.machine;
    m.token = next_number();
    m.rented_at = now;
  }
  if (!m.up || m.type.empty()) {
    m.up = true;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    Resources used;
    for (const auto& key : m.tasks) used += jobs_.at(key.first).spec.need;
    if (const auto* t = type(r.type)) m.size = t->size;
    m.free = m.size;
    m.free -= used;
    m.idle_since = now;
    want_plan_ = true;
  }
  if (!r.address.empty()) m.address = r.address;
  ReportResult result;
  result.token = m.token;
  if (r.token > m.token && (r.token >> c::kTermShift) > term_) {
    result.superseded = true;
    return result;
  }
  // Late and reordered reports say nothing about the present.
  bool stale = r.session < m.session || (r.session == m.session && r.seq <= m.seq);
  if (stale) return result;
  if (r.session > m.session) {
    if (m.session) notes_.push_back("machine " + m.name + " began session " + std::to_string(r.session));
    all_gone(m, "lost its lease", now, r.session);
    m.images.clear();
    m.session = r.session;
    m.seq = 0;
  }
  if (now - m.last_heard > c::kSilentReports * config_.report_s) want_plan_ = true;
  m.seq = r.seq;
  m.last_heard = now;
  bool newly_fenced = m.token_seen < (term_ << c::kTermShift) && r.token >= (term_ << c::kTermShift);
  m.token_seen = std::max(m.token_seen, r.token);
  if (newly_fenced) {
    m.fenced_at = now;
    want_plan_ = true;
  }
  if (r.notice_s && m.gone_at < 0) {
    m.gone_at = now + *r.notice_s;
    notes_.push_back("machine " + m.name + " is taken back in " +
                     std::to_string(static_cast<int>(*r.notice_s)) + " s: drained");
  }

  std::set<TaskKey> present;
  for (const auto& t : r.tasks) {
    TaskKey key{t.job, t.index};
    Job* job = this->job(t.job);
    ActiveTask* a = nullptr;
    if (job)
      if (auto f = job->active.find(t.index); f != job->active.end()) a = &f->second;
    bool ours = a && a->machine == m.name && a->attempt == t.attempt;
    if (t.state == TaskReportState::Exited) {
      if (ours) {
        present.insert(key);
        exited(*job, t.index, t, m, now);
        a = nullptr;
      }
      // `done` is stored before it is cleared; all other ends may be cleared at once.
      bool keep = false;
      if (t.why == ExitReason::Done && job && !job->cancelled && t.index < job->spec.tasks &&
          job->phase[t.index] == TaskPhase::Done) {
        const Shard& s = job->shards[t.index / config_.tasks_per_shard()];
        keep = s.written_gen < s.gen;
      }
      if (!keep) result.commands.push_back({Command::Op::Forget, t.job, t.index, t.attempt, 0});
      continue;
    }
    if (!ours) {
      // Nothing we hold stored says that this may run: a cancelled, finished or superseded attempt.
      result.commands.push_back({Command::Op::Stop, t.job, t.index, t.attempt, 0});
      continue;
    }
    present.insert(key);
    Stage before = a->stage;
    switch (t.state) {
      case TaskReportState::Fetching:
        a->stage = Stage::Fetching;
        break;
      case TaskReportState::Waiting:
        a->stage = Stage::Waiting;
        break;
      case TaskReportState::Running:
        a->stage = Stage::Running;
        break;
      default:
        a->stage = Stage::Saving;
        break;
    }
    a->session = r.session;
    a->fence = 0;
    a->after_seq = 0;
    if (a->stage == Stage::Waiting || a->stage == Stage::Running) note_image(m, job->spec);
    if (before != a->stage) changed_.insert(t.job);
    if (a->stop && (a->grace_s <= 0 || a->stage != Stage::Saving))
      result.commands.push_back({Command::Op::Stop, t.job, t.index, t.attempt, a->grace_s});
  }

  std::vector<TaskKey> absent;
  for (const auto& key : m.tasks)
    if (!present.count(key)) absent.push_back(key);
  for (const auto& key : absent) {
    Job* job = this->job(key.first);
    if (!job) continue;
    auto f = job->active.find(key.second);
    if (f == job->active.end()) continue;
    const ActiveTask& a = f->second;
    if (a.stage == Stage::Assigned) continue;
    // Absence is proof only once no launch of ours can still arrive: a launch whose fate is unknown raised
    // the machine's token, and this worker has seen it; a launch in a report's answer is settled by the next
    // report.
    if (r.token < a.fence) continue;
    if (a.after_seq && (channel != Channel::Report || r.seq <= a.after_seq)) continue;
    gone(key, "no longer has it", now);
  }

  m.heat = 0;
  for (const auto& key : m.tasks) {
    auto stage = jobs_.at(key.first).active.at(key.second).stage;
    m.heat += stage != Stage::Running && stage != Stage::Saving;
  }
  double s = slack(m, m.free);
  if (m.seen_at > 0 && now > m.seen_at + 0.05) {
    double w = c::kSlopeSmoothing, dt = now - m.seen_at;
    m.slack_slope = (1 - w) * m.slack_slope + w * (s - m.seen_slack) / dt;
    m.heat_slope = (1 - w) * m.heat_slope + w * (m.heat - m.seen_heat) / dt;
  }
  m.seen_slack = s, m.seen_heat = m.heat, m.seen_at = now;

  if (channel == Channel::Report) {
    // A machine we cannot reach gets its launches with the answer; its next report settles them.
    if (!m.direct && !m.orders_in_flight && usable(m, now)) {
      for (const auto& [id, index] : std::exchange(m.outbox, {})) {
        Job* job = this->job(id);
        auto f = job ? job->active.find(index) : decltype(job->active.find(0)){};
        if (!job || f == job->active.end() || f->second.session != m.session || f->second.stop) {
          if (job && f != job->active.end()) unassign(*job, index, now);
          continue;
        }
        f->second.stage = Stage::Sent;
        f->second.fence = 0;
        f->second.after_seq = r.seq;
        m.last_launch = now;
        result.commands.push_back({Command::Op::Start, id, index, f->second.attempt, 0});
      }
    }
  }
  if (m.gone_at >= 0) drain(m, now);
  result.token = m.token;
  return result;
}

void Cluster::answered(const std::string& name, double now) {
  if (Machine* m = machine(name)) m->last_answered = now;
}

bool Cluster::has_orders(const Machine& m) const {
  if (m.orders_in_flight || !m.up || m.address.empty()) return false;
  bool fence = m.token_seen < m.token;
  return m.direct && (!m.outbox.empty() || m.wants_orders || fence);
}

Orders Cluster::take_orders(const std::string& name, double now) {
  Orders out;
  Machine& m = machines_.at(name);
  m.orders_in_flight = true;
  m.wants_orders = false;
  out.token = m.token;
  out.session = m.session;
  for (const auto& [id, index] : m.tasks) {
    const ActiveTask& a = jobs_.at(id).active.at(index);
    if (a.stop && a.stage != Stage::Assigned && (a.grace_s <= 0 || a.stage != Stage::Saving))
      out.commands.push_back({Command::Op::Stop, id, index, a.attempt, a.grace_s});
  }
  for (const auto& [id, index] : std::exchange(m.outbox, {})) {
    Job* job = this->job(id);
    if (!job) continue;
    auto f = job->active.find(index);
    if (f == job->active.end()) continue;
    ActiveTask& a = f->second;
    if (a.session != m.session || a.stop || m.doomed) {
      unassign(*job, index, now);
      if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
      continue;
    }
    a.stage = Stage::Sent;
    a.fence = ~0ull;  // in flight: no report can prove absence
    m.last_launch = now;
    out.launches.push_back({id, index});
    out.attempts.push_back(a.attempt);
    out.commands.push_back({Command::Op::Start, id, index, a.attempt, 0});
  }
  return out;
}

void Cluster::orders_done(const std::string& name, const Orders& orders, OrdersOutcome outcome, double now) {
  Machine* m = machine(name);
  if (!m) return;
  m->orders_in_flight = false;
  if (outcome == OrdersOutcome::Unanswered) {
    // The launch may still arrive, minutes late: only a higher token that the worker has seen shuts it out.
    m->token = next_number();
  }
  if (outcome == OrdersOutcome::Unsent || outcome == OrdersOutcome::Unanswered) {
    m->direct = false;
    m->probe_at = now + 2 * config_.report_s;
    if (!orders.commands.empty()) m->wants_orders = true;
  } else {
    m->direct = true;
  }
  for (std::size_t i = 0; i < orders.launches.size(); ++i) {
    const auto& [id, index] = orders.launches[i];
    Job* job = this->job(id);
    if (!job) continue;
    auto f = job->active.find(index);
    if (f == job->active.end() || f->second.attempt != orders.attempts[i] || f->second.stage != Stage::Sent)
      continue;
    switch (outcome) {
      case OrdersOutcome::Executed:
        f->second.fence = 0;
        break;
      case OrdersOutcome::Unanswered:
        f->second.fence = m->token;
        break;
      case OrdersOutcome::Refused:
      case OrdersOutcome::Unsent:
        unassign(*job, index, now);
        if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
        break;
    }
  }
}

void Cluster::drain(Machine& m, double now) {
  for (const auto& [id, index] : std::set<TaskKey>(m.tasks)) {
    Job* job = this->job(id);
    if (!job) continue;
    auto f = job->active.find(index);
    if (f == job->active.end() || f->second.stop || job->spec.checkpoint_s <= 0) continue;
    ActiveTask& a = f->second;
    if (a.stage != Stage::Running && a.stage != Stage::Waiting && a.stage != Stage::Fetching) continue;
    if (m.gone_at >= 0 && m.gone_at - now < job->spec.save_s && !m.sick) continue;
    double grace = job->spec.save_s + c::kCancelReserve;
    if (job->spec.kind == JobKind::Gang) {
      // An orderly stop reaches every member at once, or the save fails.
      job->draining = true;
      for (auto& [i, other] : job->active) stop_task(*job, i, grace);
    } else {
      stop_task(*job, index, grace);
    }
    job->why = "moved off a machine that is given back";
  }
}

// ---------------------------------------------------------------- time

std::vector<std::string> Cluster::lapsed(double now) const {
  std::vector<std::string> out;
  double lease = config_.lease_s * (1 + c::kClockDrift) + c::kProofMargin;
  std::uint64_t base = term_ << c::kTermShift;
  for (const auto& [name, m] : machines_) {
    if (m.tasks.empty()) continue;
    // The last moment anybody could have renewed this worker's lease: us, a keeper, or a former leader that
    // has lost the state service and keeps tasks alive for a while, unless the worker already obeys our term.
    double life = std::max({m.last_answered, m.last_launch, m.kept_until});
    life = std::max(life, m.token_seen >= base ? m.fenced_at : started_ + config_.keepalive());
    if (now > life + lease) out.push_back(name);
  }
  return out;
}

void Cluster::kept(const std::string& name, double until) {
  if (Machine* m = machine(name)) m->kept_until = std::max(m->kept_until, until);
}

void Cluster::lease_over(const std::string& name, double now) {
  Machine* m = machine(name);
  if (!m) return;
  notes_.push_back("machine " + name + " is silent past its lease: its tasks start elsewhere");
  all_gone(*m, "was silent past its lease", now);
}

void Cluster::tick(double now) {
  std::map<std::string, std::pair<int, int>> silent;  // zone -> silent, all
  for (auto& [name, m] : machines_) {
    if (!m.up || m.doomed) continue;
    auto& [s, all] = silent[m.zone];
    ++all;
    s += now - m.last_heard > c::kSilentReports * config_.report_s;
  }
  for (const auto& [zone, counts] : silent)
    if (counts.first > std::max(1.0, c::kMaxSilentShare * counts.second))
      cut_until_[zone] = now + config_.lease_s;
  for (auto& [name, m] : machines_) {
    if (!m.direct && now >= m.probe_at && m.up) m.direct = true;
    if (m.up && !m.doomed && now - m.last_heard > c::kDeadReports * config_.report_s &&
        now - started_ > c::kDeadReports * config_.report_s) {
      // One or two silent machines are broken; many at once mean that the network is, and they come back one
      // by one.
      if (now >= cut_until_[m.zone]) {
        notes_.push_back("machine " + name + " is silent: returned to the cloud");
        doom(name, now);
      }
    }
    if (m.sick && !m.doomed) {
      drain(m, now);
      if (m.tasks.empty()) doom(name, now);
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
    std::vector<int> lapsed;
    for (auto& [index, a] : job.active) {
      bool unstarted = a.stage == Stage::Sent || a.stage == Stage::Fetching || a.stage == Stage::Waiting;
      if (unstarted && !a.stop && now > a.lapse_at) lapsed.push_back(index);
    }
    for (int index : lapsed) {
      job.why = "a reservation lapsed before the task had started; placed again";
      stop_task(job, index, 0);
    }
    if (job.queued && job.not_before > 0 && now >= job.not_before) {
      job.not_before = 0;
      want_plan_ = true;
    }
  }
}

// ---------------------------------------------------------------- placement

bool Cluster::usable(const Machine& m, double now) const {
  return m.up && !m.doomed && !m.sick && m.gone_at < 0 && m.size.cpus > 0 &&
         m.token_seen >= (term_ << c::kTermShift) && m.token_seen >= m.token && now >= m.full_until &&
         now - m.last_heard < c::kSilentReports * config_.report_s;
}

bool Cluster::allowed(const JobSpec& spec, const Machine& m) const {
  if (!spec.allows_type(m.type)) return false;
  if (spec.zone && *spec.zone != m.zone) return false;
  return spec.spot || !m.spot;
}

double Cluster::fetch_time(const JobSpec& spec, const Machine& m) const {
  if (std::find(m.images.begin(), m.images.end(), spec.image) != m.images.end()) return 0;
  const auto* t = type(m.type);
  return t ? spec.image_gb / t->fetch_gb_per_s : spec.image_gb;
}

void Cluster::note_image(Machine& m, const JobSpec& spec) {
  if (!m.images.empty() && m.images.front() == spec.image) return;
  std::erase(m.images, spec.image);
  m.images.push_front(spec.image);
  m.image_gb[spec.image] = spec.image_gb;
  const auto* t = type(m.type);
  double total = 0;
  for (std::size_t i = 0; i < m.images.size(); ++i) {
    total += m.image_gb[m.images[i]];
    if (t && total > t->cache_gb && i > 0) {
      for (std::size_t k = i; k < m.images.size(); ++k) m.image_gb.erase(m.images[k]);
      m.images.resize(i);
      break;
    }
  }
}

double Cluster::slack(const Machine& m, const Resources& free) const {
  double s = 1;
  if (m.size.cpus > 0) s = std::min(s, free.cpus / m.size.cpus);
  if (m.size.gpus > 0) s = std::min(s, free.gpus / m.size.gpus);
  if (m.size.memory_gb > 0) s = std::min(s, free.memory_gb / m.size.memory_gb);
  return std::max(0.0, s);
}

double Cluster::utility(const JobSpec& spec, const Machine& m, const Resources& free, int extra_heat,
                        double now) const {
  double age = std::max(0.0, now - m.last_heard);
  double s = std::max(0.0, slack(m, free) + age * m.slack_slope);
  double h = std::max(0.0, m.heat + extra_heat + age * m.heat_slope);
  return std::log2(1 + s) - c::kGamma * std::log2(1 + h) - c::kFetchWeight * fetch_time(spec, m);
}

bool Cluster::within_limit(const std::string& name, const Resources& more) const {
  auto t = teams_.find(name);
  if (t == teams_.end()) return false;
  Resources use = team_use(name);
  use += more;
  return t->second.allows(use);
}

std::unordered_set<std::string> Cluster::guaranteed_jobs() const {
  std::vector<const Job*> order;
  for (const auto& [id, job] : jobs_)
    if (!job.cancelled) order.push_back(&job);
  std::sort(order.begin(), order.end(), [](auto* a, auto* b) { return a->order < b->order; });
  std::map<std::string, Resources> sum;
  std::unordered_set<std::string> out;
  for (const auto* job : order) {
    auto t = teams_.find(job->spec.team);
    if (t == teams_.end()) continue;
    Resources& s = sum[job->spec.team];
    s.cpus += job->spec.need.cpus * job->spec.tasks;
    s.gpus += job->spec.need.gpus * job->spec.tasks;
    bool gpus_metered = t->second.gpus > 0 || t->second.gpus_max > 0;
    if (s.cpus <= t->second.cpus && (!gpus_metered || s.gpus <= t->second.gpus)) out.insert(job->spec.id);
  }
  return out;
}

double Cluster::weight(const Job& job, bool guaranteed) const {
  static constexpr double kPriorityWeight[] = {1, 4, 16, 64};
  double largest = 1;
  for (const auto& t : types_) largest = std::max(largest, t.size.cpus);
  double size = std::max({job.spec.need.cpus / largest, job.spec.need.gpus, 1 / largest});
  if (job.spec.kind == JobKind::Gang) size *= job.spec.tasks;
  return kPriorityWeight[static_cast<int>(job.spec.priority)] * size * (guaranteed ? c::kGuaranteeBoost : 1);
}

std::vector<Machine*> Cluster::fitting(const Job& job, bool doubtful_too, double now) {
  const JobSpec& spec = job.spec;
  std::string only_zone;
  if (spec.one_zone && !job.active.empty()) only_zone = job.active.begin()->second.zone;
  std::vector<Machine*> plain, with_gpus, doubtful;
  double free_gpus = 0, busy_gpus = 0;
  for (auto& [name, m] : machines_) {
    if (!usable(m, now)) continue;
    if (m.size.gpus > 0) free_gpus += m.free.gpus, busy_gpus += m.size.gpus - m.free.gpus;
    if (!allowed(spec, m) || !spec.need.fits(m.free)) continue;
    if (now < m.room_until && m.room_for != spec.id) continue;
    if (!only_zone.empty() && m.zone != only_zone) continue;
    if (spec.need.gpus <= 0 && m.size.gpus > 0)
      with_gpus.push_back(&m);
    else if (now < m.suspect_until || job.failed_on.count(name))
      doubtful.push_back(&m);
    else
      plain.push_back(&m);
  }
  // Accelerators never stall behind work that does not need them.
  double reserve = c::kAcceleratorReserve * (free_gpus + busy_gpus);
  if (accelerator_users_ && spec.priority <= *accelerator_users_)
    std::erase_if(with_gpus, [&](const Machine* m) {
      return accelerators_wanted_ || free_gpus - m->free.gpus < reserve;
    });
  if (spec.kind == JobKind::Gang) {
    // Whole machines for gangs: all fitting machines are looked at, those without accelerators first.
    plain.insert(plain.end(), with_gpus.begin(), with_gpus.end());
    if (doubtful_too) plain.insert(plain.end(), doubtful.begin(), doubtful.end());
    return plain;
  }
  // Work that needs no accelerator takes accelerator machines only when nothing else fits.
  if (!plain.empty()) return plain;
  if (!with_gpus.empty()) return with_gpus;
  return doubtful;
}

std::vector<std::string> Cluster::draw_zones(const JobSpec& spec, const std::vector<Machine*>& fitting,
                                             double now) {
  struct Sum {
    double slack = 0, heat = 0, fetch = 1e9;
    int n = 0, places = 0;
  };
  std::map<std::string, Sum> zones;
  for (const auto* m : fitting) {
    auto& z = zones[m->zone];
    double age = std::max(0.0, now - m->last_heard);
    z.slack += std::max(0.0, slack(*m, m->free) + age * m->slack_slope);
    z.heat += std::max(0.0, m->heat + age * m->heat_slope);
    z.fetch = std::min(z.fetch, fetch_time(spec, *m));
    z.places += spec.need.times_in(m->free);
    ++z.n;
  }
  bool whole = spec.kind == JobKind::Gang && spec.one_zone;
  std::vector<std::pair<std::string, double>> odds;
  for (const auto& [name, z] : zones) {
    if (whole && z.places < spec.tasks) continue;
    double u = std::log2(1 + z.slack / z.n) - c::kGamma * std::log2(1 + z.heat) - c::kFetchWeight * z.fetch;
    odds.push_back({name, std::exp2(u / c::kTau)});
  }
  std::vector<std::string> order;
  while (!odds.empty()) {
    double total = 0;
    for (auto& o : odds) total += o.second;
    double x = std::uniform_real_distribution<double>(0, total)(rng_);
    std::size_t i = 0;
    while (i + 1 < odds.size() && x >= odds[i].second) x -= odds[i++].second;
    order.push_back(odds[i].first);
    odds.erase(odds.begin() + static_cast<long>(i));
  }
  return order;
}

Machine* Cluster::pick(const JobSpec& spec, std::vector<Machine*>& candidates,
                       const std::unordered_map<Machine*, int>& planned, double now) {
  std::normal_distribution<double> noise(0, c::kNoise);
  Machine* best = nullptr;
  double best_score = -1e18;
  std::size_t sample = std::min<std::size_t>(candidates.size(), c::kSample);
  for (std::size_t i = 0; i < sample; ++i) {
    std::size_t k = std::uniform_int_distribution<std::size_t>(i, candidates.size() - 1)(rng_);
    std::swap(candidates[i], candidates[k]);
    Machine* m = candidates[i];
    auto p = planned.find(m);
    int n = p == planned.end() ? 0 : p->second;
    Resources free = m->free;
    for (int j = 0; j < n; ++j) free -= spec.need;
    if (!spec.need.fits(free)) continue;
    double score = utility(spec, *m, free, n, now) + noise(rng_);
    if (spec.need.gpus <= 0 && m->size.gpus > 0) score -= c::kAcceleratorPenalty;
    if (score > best_score) best = m, best_score = score;
  }
  return best;
}

bool Cluster::place_gang(Job& job, bool doubtful_too, double now) {
  const JobSpec& spec = job.spec;
  Resources total;
  for (int i = 0; i < spec.tasks; ++i) total += spec.need;
  if (!within_limit(spec.team, total)) {
    job.why = "waiting: the team's limit leaves no room for the whole gang";
    return false;
  }
  auto all = fitting(job, doubtful_too, now);
  int half = (spec.tasks + 1) / 2;
  std::unordered_map<Machine*, int> planned;
  std::vector<Machine*> places;
  auto try_in = [&](std::vector<Machine*> candidates, int most) {
    int placed = 0;
    while (placed < most && static_cast<int>(places.size()) < spec.tasks) {
      std::erase_if(candidates, [&](Machine* m) {
        Resources free = m->free;
        auto p = planned.find(m);
        for (int j = 0; j < (p == planned.end() ? 0 : p->second); ++j) free -= spec.need;
        return !spec.need.fits(free);
      });
      if (candidates.empty()) break;
      Machine* m = pick(spec, candidates, planned, now);
      if (!m) break;
      ++planned[m];
      places.push_back(m);
      ++placed;
    }
  };
  for (const auto& zone : draw_zones(spec, all, now)) {
    std::vector<Machine*> here;
    for (auto* m : all)
      if (m->zone == zone) here.push_back(m);
    if (spec.one_zone) places.clear(), planned.clear();
    try_in(here, spec.spread ? half : spec.tasks);
    if (static_cast<int>(places.size()) == spec.tasks) break;
  }
  if (static_cast<int>(places.size()) < spec.tasks) {
    // Machines on which something failed lately are better than waiting for ever.
    if (!doubtful_too) return place_gang(job, true, now);
    job.why = "waiting: no " + std::string(spec.one_zone ? "zone has" : "zones have") +
              " room for all its tasks at once";
    return false;
  }
  if (config_.details) {
    double fetch = 0;
    for (const auto* m : places) fetch = std::max(fetch, fetch_time(spec, *m));
    details_.push_back(fmt::format("job {} ({}): {} tasks placed in {} after {:.1f} s, slowest fetch {:.1f} s",
                                   spec.id, spec.job_class, spec.tasks, places.front()->zone,
                                   now - job.accepted_at, fetch));
  }
  auto attempt = next_number();
  for (int i = 0; i < spec.tasks; ++i) assign(job, i, *places[static_cast<std::size_t>(i)], attempt, now);
  return true;
}

int Cluster::place_tasks(Job& job, int budget, double now) {
  const JobSpec& spec = job.spec;
  int placed = 0;
  std::map<std::string, int> in_zone;
  for (const auto& [i, a] : job.active) ++in_zone[a.zone];
  while (placed < budget && job.queued > 0) {
    if (!within_limit(spec.team, spec.need)) {
      job.why = "waiting: the team is at its limit";
      break;
    }
    auto candidates = fitting(job, true, now);
    if (spec.spread)
      std::erase_if(candidates, [&](Machine* m) { return in_zone[m->zone] + 1 > (spec.tasks + 1) / 2; });
    if (candidates.empty()) {
      job.why = "waiting: no machine it may use has room";
      break;
    }
    auto zone = draw_zones(spec, candidates, now).front();
    std::erase_if(candidates, [&](Machine* m) { return m->zone != zone; });
    Machine* m = pick(spec, candidates, {}, now);
    if (!m) break;
    while (job.cursor < spec.tasks && job.phase[static_cast<std::size_t>(job.cursor)] != TaskPhase::Queued)
      ++job.cursor;
    if (job.cursor >= spec.tasks) break;
    assign(job, job.cursor, *m, next_number(), now);
    ++in_zone[m->zone];
    ++placed;
  }
  return placed;
}

void Cluster::plan(double now) {
  want_plan_ = false;
  auto guaranteed = guaranteed_jobs();
  auto late = [this](const Job& job, double at) {
    auto aim = config_.finish_within.find(job.spec.job_class);
    double within = aim != config_.finish_within.end() ? aim->second : job.spec.deadline_s.value_or(0);
    return within > 0 && at - job.accepted_at > within;
  };
  auto left = [](const Job& job) { return job.queued * std::max(1.0, job.spec.estimate_s); };
  std::vector<std::pair<double, Job*>> order;
  for (auto& [id, job] : jobs_)
    if (job.queued > 0 && !job.cancelled && now >= job.not_before)
      order.push_back({weight(job, guaranteed.count(id) > 0), &job});
  // The highest priority times size wins a machine: bids are settled in that order.
  std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
    if (a.first != b.first) return a.first > b.first;
    // Of equals, first those that can still end in time, and of these the one with the least left to start:
    // that way the fewest jobs are late when there is too little room.
    auto late_a = late(*a.second, now), late_b = late(*b.second, now);
    if (late_a != late_b) return late_b;
    auto left_a = late_a ? 0 : left(*a.second), left_b = late_b ? 0 : left(*b.second);
    return left_a != left_b ? left_a < left_b : a.second->order < b.second->order;
  });
  accelerators_wanted_ = false;
  accelerator_users_.reset();
  for (const auto& [id, job] : jobs_)
    if (job.spec.need.gpus > 0 && !job.cancelled)
      accelerator_users_ = std::max(job.spec.priority, accelerator_users_.value_or(job.spec.priority));
  for (auto& [w, job] : order)
    accelerators_wanted_ |= job->spec.need.gpus > 0 && within_limit(job->spec.team, job->spec.need);
  int budget = c::kPassBids, preemptors = 0;
  // Looking for work to stop is dear; it is left out where nothing of lower priority runs.
  Priority lowest = Priority::Production;
  for (const auto& [id, job] : jobs_)
    if (!job.active.empty() && job.spec.kind != JobKind::Gang) lowest = std::min(lowest, job.spec.priority);
  std::map<std::string, Priority> held;  // teams whose limit keeps a more urgent job waiting
  for (auto& [w, job] : order) {
    Resources wanted;
    for (int i = 0; i < (job->spec.kind == JobKind::Gang ? job->spec.tasks : 1); ++i)
      wanted += job->spec.need;
    if (within_limit(job->spec.team, wanted)) continue;
    auto [h, fresh] = held.try_emplace(job->spec.team, job->spec.priority);
    if (!fresh) h->second = std::max(h->second, job->spec.priority);
  }
  for (auto& [w, job] : order) {
    if (budget <= 0) {
      want_plan_ = true;
      break;
    }
    const JobSpec& spec = job->spec;
    if (auto h = held.find(spec.team); h != held.end() && spec.priority < h->second) {
      job->why = "waiting: room under the team's limit is kept for more urgent work";
      continue;
    }
    bool gang = spec.kind == JobKind::Gang;
    if (gang && !job->active.empty()) continue;
    if (gang)
      budget -= place_gang(*job, false, now) ? spec.tasks : 0;
    else
      budget -= place_tasks(*job, budget, now);
    if (job->queued == 0 || spec.priority <= lowest) continue;
    Resources wanted;
    for (int i = 0; i < (gang ? spec.tasks : 1); ++i) wanted += spec.need;
    if (!within_limit(spec.team, wanted)) {
      auto [h, fresh] = held.try_emplace(spec.team, spec.priority);
      if (!fresh) h->second = std::max(h->second, spec.priority);
    }
    // Guards against stopping ever more: what was stopped for a job gets the time to end before more is.
    if (now - job->room_made_at < c::kKeepRoom) continue;
    if (preemptors++ < c::kPreemptorsPerPass && make_room(*job, guaranteed, now)) job->room_made_at = now;
  }
}

void Cluster::preempt(const TaskKey& key, const Job& by) {
  Job& job = jobs_.at(key.first);
  // Saving takes time that the urgent work waits; where a stop loses no more than saving costs, it is not
  // asked for.
  double expected_loss = job.spec.checkpoint_s / 2;
  bool save = job.spec.checkpoint_s > 0 && expected_loss > c::kSaveWorth * job.spec.save_s;
  job.why = "stopped to make room for " + by.spec.id + ", which is more urgent; started again later";
  if (job.spec.kind == JobKind::Gang && save) job.draining = true;
  if (job.spec.kind == JobKind::Gang)
    for (auto& [i, a] : job.active) stop_task(job, i, save ? job.spec.save_s + c::kCancelReserve : 0);
  else
    stop_task(job, key.second, save ? job.spec.save_s + c::kCancelReserve : 0);
}

/// Stops the least work of lower priority that lets the job start: of its own team where the team's limit is
/// what it waits for, else on machines. What is already stopping counts as free, so nothing is stopped twice
/// over.
bool Cluster::make_room(Job& job, const std::unordered_set<std::string>& guaranteed, double now) {
  const JobSpec& spec = job.spec;
  int tasks = spec.kind == JobKind::Gang ? spec.tasks : 1;
  struct Victim {
    TaskKey key;
    Resources need;
    double cost;
  };
  std::vector<Victim> all;
  Resources use = team_use(spec.team);
  std::map<std::string, Resources> room;  // machine -> free once everything that is stopping has stopped
  for (auto& [name, m] : machines_)
    if (usable(m, now) && (now >= m.room_until || m.room_for == spec.id)) room[name] = m.free;
  for (auto& [id, other] : jobs_)
    for (auto& [index, a] : other.active) {
      auto r = room.find(a.machine);
      if (a.stop) {
        if (r != room.end()) r->second += other.spec.need;
        if (other.spec.team == spec.team) use -= other.spec.need;
      } else if (other.spec.priority < spec.priority && other.spec.kind != JobKind::Gang &&
                 a.stage != Stage::Assigned &&
                 (other.spec.team == spec.team || !guaranteed.count(id) || guaranteed.count(spec.id))) {
        // Guards against two jobs that take turns: what is placed first, for its team's guarantee, is not
        // stopped for another team's work beyond its own; and nothing is stopped that has not even been sent.
        // Starts that have just been counted are spared; then what has run least.
        double age = now - a.since;
        all.push_back({{id, index}, other.spec.need, age + (age < c::kFreshStart ? 1e6 : 0)});
      }
    }
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.cost < b.cost; });
  std::vector<TaskKey> chosen;
  auto team = teams_.find(spec.team);
  if (team == teams_.end()) return false;
  Resources wanted;
  for (int i = 0; i < tasks; ++i) wanted += spec.need;
  auto over = [&](Resources u) { return !team->second.allows(u += wanted); };
  if (over(use))  // work of the same team frees both room and limit
    std::stable_sort(all.begin(), all.end(), [&](const auto& a, const auto& b) {
      return (jobs_.at(a.key.first).spec.team == spec.team) > (jobs_.at(b.key.first).spec.team == spec.team);
    });
  std::map<std::string, std::vector<std::string>> zones;  // zone (or all zones) -> machines
  for (const auto& [name, r] : room) {
    const Machine& m = machines_.at(name);
    if (!allowed(spec, m)) continue;
    if (spec.one_zone && !job.active.empty() && job.active.begin()->second.zone != m.zone) continue;
    zones[spec.one_zone ? m.zone : ""].push_back(name);
  }
  std::size_t fewest = 1e9;
  std::vector<TaskKey> best;
  std::set<std::string> best_places;
  for (const auto& [zone, names] : zones) {
    auto free = room;
    std::set<TaskKey> used;
    std::vector<TaskKey> stops;
    std::set<std::string> places;
    int placed = 0;
    for (; placed < tasks; ++placed) {
      std::string where;
      std::vector<const Victim*> cheapest;
      for (const auto& name : names) {
        Resources r = free[name];
        std::vector<const Victim*> need;
        for (const auto& v : all) {
          if (spec.need.fits(r)) break;
          if (used.count(v.key) || jobs_.at(v.key.first).active.at(v.key.second).machine != name) continue;
          r += v.need;
          need.push_back(&v);
        }
        if (spec.need.fits(r) && (where.empty() || need.size() < cheapest.size()))
          where = name, cheapest = need;
      }
      if (where.empty()) break;
      for (const auto* v : cheapest) {
        free[where] += v->need;
        used.insert(v->key);
        stops.push_back(v->key);
      }
      free[where] -= spec.need;
      places.insert(where);
    }
    if (placed == tasks && stops.size() < fewest) fewest = stops.size(), best = stops, best_places = places;
  }
  if (fewest == static_cast<std::size_t>(1e9)) return false;
  chosen = best;
  for (const auto& v : all)
    if (jobs_.at(v.key.first).spec.team == spec.team &&
        std::find(best.begin(), best.end(), v.key) != best.end())
      use -= v.need;
  for (const auto& v : all) {
    if (!over(use)) break;
    if (jobs_.at(v.key.first).spec.team != spec.team) continue;
    if (std::find(best.begin(), best.end(), v.key) != best.end()) continue;
    use -= v.need;
    chosen.push_back(v.key);
  }
  if (over(use)) return false;
  for (const auto& name : best_places) {
    machines_.at(name).room_for = spec.id;
    machines_.at(name).room_until = now + c::kKeepRoom;
  }
  for (const auto& key : chosen) preempt(key, job);
  if (!chosen.empty())
    notes_.push_back("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(chosen.size()) +
                     " less urgent tasks are stopped for it");
  return true;
}

// ---------------------------------------------------------------- the store

nlohmann::json Cluster::shard_value(const Job& job, int shard) const {
  int per = config_.tasks_per_shard(), base = shard * per;
  nlohmann::json done = nlohmann::json::array(), tasks = nlohmann::json::object();
  int from = -1;
  for (int i = 0; i <= per; ++i) {
    bool is_done = i < per && base + i < job.spec.tasks &&
                   job.phase[static_cast<std::size_t>(base + i)] == TaskPhase::Done;
    if (is_done && from < 0) from = i;
    if (!is_done && from >= 0) {
      done.push_back({from, i - 1});
      from = -1;
    }
  }
  for (auto it = job.active.lower_bound(base); it != job.active.end() && it->first < base + per; ++it)
    tasks[std::to_string(it->first - base)] = {it->second.attempt, it->second.machine, it->second.session,
                                               it->second.zone};
  return {{"d", std::move(done)}, {"t", std::move(tasks)}};
}

std::vector<ShardWrite> Cluster::next_writes(int most) {
  std::vector<ShardWrite> out;
  std::vector<std::pair<std::string, int>> rest;
  for (auto& entry : dirty_) {
    Job* job = this->job(entry.first);
    if (!job || job->finalizing) continue;
    Shard& s = job->shards[entry.second];
    if (s.in_flight || s.written_gen == s.gen) continue;
    // A job that is over needs no more shards: its end is stored instead.
    if ((job->done == job->spec.tasks || job->cancelled) && job->active.empty()) continue;
    if (static_cast<int>(out.size()) >= most) {
      rest.push_back(entry);
      continue;
    }
    s.in_flight = true;
    out.push_back({entry.first, entry.second, s.version, s.gen, shard_value(*job, entry.second)});
  }
  dirty_ = std::move(rest);
  return out;
}

void Cluster::written(const std::vector<ShardWrite>& batch, std::uint64_t revision, double now) {
  for (const auto& w : batch) {
    Job* job = this->job(w.job);
    if (!job) continue;
    Shard& s = job->shards[w.shard];
    s.in_flight = false;
    s.version = revision;
    s.written_gen = w.gen;
    if (s.gen != s.written_gen) dirty_.push_back({w.job, w.shard});
    int base = w.shard * config_.tasks_per_shard();
    std::vector<int> lost;
    for (auto it = job->active.lower_bound(base);
         it != job->active.end() && it->first < base + config_.tasks_per_shard(); ++it) {
      ActiveTask& a = it->second;
      if (a.stage != Stage::Assigned || a.gen > w.gen) continue;
      Machine* m = machine(a.machine);
      if (!m || m->doomed || a.session != m->session || a.stop)
        lost.push_back(it->first);
      else if (std::find(m->outbox.begin(), m->outbox.end(), TaskKey{w.job, it->first}) == m->outbox.end())
        m->outbox.push_back({w.job, it->first});
    }
    for (int index : lost) unassign(*job, index, now);
    if (!lost.empty() && job->spec.kind == JobKind::Gang) abort_gang(*job, now);
  }
}

void Cluster::write_failed(const std::vector<ShardWrite>& batch) {
  for (const auto& w : batch)
    if (Job* job = this->job(w.job)) {
      job->shards[w.shard].in_flight = false;
      dirty_.push_back({w.job, w.shard});
    }
}

void Cluster::shard_version(const std::string& id, int shard, std::uint64_t version) {
  if (Job* job = this->job(id)) job->shards[shard].version = version;
}

std::vector<std::string> Cluster::finished_jobs() const {
  std::vector<std::string> out;
  for (const auto& [id, job] : jobs_) {
    if (job.finalizing || !job.active.empty()) continue;
    bool in_flight = false;
    for (const auto& [n, s] : job.shards) in_flight |= s.in_flight;
    if (!in_flight && (job.cancelled || job.done == job.spec.tasks)) out.push_back(id);
  }
  return out;
}

// ---------------------------------------------------------------- machines

void Cluster::rented(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                     double now) {
  if (returned_.count(name)) return;
  auto [it, fresh] = machines_.try_emplace(name);
  Machine& m = it->second;
  if (!fresh) return;
  m.name = name;
  m.type = type;
  m.zone = zone;
  m.spot = spot;
  m.token = next_number();
  m.rented_at = now;
  if (const auto* t = this->type(type)) m.size = m.free = t->size;
}

void Cluster::listed(const std::vector<ListedMachine>& list, double now) {
  for (const auto& l : list) {
    rented(l.name, l.type, l.zone, l.spot, now - l.age_s);
    if (returned_.count(l.name)) continue;
    Machine& m = machines_.at(l.name);
    if (m.type.empty()) {  // known so far only from a task's record
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
    }
    if (m.address.empty()) m.address = l.address;
    if (l.phase == ListedMachine::Phase::Failed && !m.doomed) {
      notes_.push_back("machine " + l.name + " failed on its own: returned");
      doom(l.name, now);
    }
    const auto* t = type(m.type);
    if (!m.up && !m.doomed && t && now - m.rented_at > c::kBootLate * t->boot_s + c::kBootGrace &&
        now - started_ > c::kDeadReports * config_.report_s) {
      notes_.push_back("machine " + l.name + " never came up: returned");
      doom(l.name, now);
    }
  }
}

void Cluster::doom(const std::string& name, double now) {
  Machine* m = machine(name);
  if (!m || m->doomed) return;
  m->doomed = true;
  for (const auto& [id, index] : std::set<TaskKey>(m->tasks)) {
    Job* job = this->job(id);
    if (!job) continue;
    auto f = job->active.find(index);
    if (f != job->active.end() && f->second.stage == Stage::Assigned) {
      unassign(*job, index, now);
      if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
    }
  }
}

std::vector<std::string> Cluster::doomed() const {
  std::vector<std::string> out;
  for (const auto& [name, m] : machines_)
    if (m.doomed) out.push_back(name);
  return out;
}

void Cluster::deleted(const std::vector<std::string>& names, double now) {
  for (const auto& name : names) {
    Machine* m = machine(name);
    if (!m) continue;
    // The cloud's 200 is proof: the machine and everything on it are gone.
    all_gone(*m, "was returned", now);
    machines_.erase(name);
    returned_.insert(name);
    // Names rise with creation: the oldest are the first that nobody speaks of any more.
    if (returned_.size() > c::kReturnedNames) returned_.erase(returned_.begin());
  }
}

}  // namespace corkmux
