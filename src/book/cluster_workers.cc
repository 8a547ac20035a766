// The book's side of the workers' protocol: reports, orders, leases and what proves a place empty.
#include <algorithm>

#include "cluster.h"
#include "constants.h"
#include "planted.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

Cluster::ReportResult Cluster::on_report(const Report& r, Channel channel, double now) {
  // Guards against ghosts: a held-back report of a machine that was returned must not revive it.
  if (returned_.count(r.machine)) return {};
  auto [it, fresh] = machines_.try_emplace(r.machine);
  Machine& m = it->second;
  if (fresh) {
    m.name = r.machine;
    fence(m);
    m.rented_at = now;
  }
  if (!m.up || m.type.empty()) {
    room_.remove(m);
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
  to_order_.insert(m.name);
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
    room_.take_out(m);
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
  std::vector<Command> forget;
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
        const Shard& s = shard_of(*job, t.index).second;
        keep = s.written_gen < s.gen;
      }
      if (!keep) forget.push_back({Command::Op::Forget, t.job, t.index, t.attempt, 0});
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
    if (a->stage == Stage::Running && a->running_at < 0) a->running_at = now;
    a->session = r.session;
    a->fence = 0;
    a->after_seq = 0;
    if (a->stage == Stage::Waiting || a->stage == Stage::Running) note_image(m, job->spec);
    if (before != a->stage) changed_.insert(t.job);
    if (a->stop && (a->grace_s <= 0 || a->stage != Stage::Saving))
      result.commands.push_back({Command::Op::Stop, t.job, t.index, t.attempt, a->grace_s});
  }

  // Guards against a late copy of orders that were carried out: once it has cleared an attempt, the worker
  // would start it again. So what clears it carries a token above that of all launches, and waits while any
  // are on their way; until then the worker knows the attempt, and a copy does nothing.
  if (channel == Channel::Report && !forget.empty() && !m.orders_in_flight) {
    if (m.launched == m.token && !planted("what was cleared can be launched again")) m.token = next_number();
    result.commands.insert(result.commands.end(), forget.begin(), forget.end());
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
  refile(m, now);
  if (m.gone_at >= 0) drain(m, now);
  result.token = m.token;
  return result;
}

void Cluster::answered(const std::string& name, double now) {
  if (Machine* m = machine(name)) m->last_answered = now;
}

void Cluster::beyond_reach(const std::string& name, double now) {
  if (Machine* m = machine(name)) {
    m->direct = false;
    m->probe_at = now + 2 * config_.report_s;
  }
}

bool Cluster::has_orders(const Machine& m) const {
  if (m.orders_in_flight || !m.up || m.address.empty()) return false;
  return m.direct && (!m.outbox.empty() || m.wants_orders || m.token_seen < m.wanted);
}

std::vector<std::string> Cluster::with_orders() {
  std::vector<std::string> out;
  for (const auto& name : std::exchange(to_order_, {}))
    if (const Machine* m = machine(name); m && has_orders(*m)) out.push_back(name);
  return out;
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
  if (!out.launches.empty()) m.launched = m.token;
  return out;
}

void Cluster::orders_done(const std::string& name, const Orders& orders, OrdersOutcome outcome, double now) {
  Machine* m = machine(name);
  if (!m) return;
  m->orders_in_flight = false;
  to_order_.insert(name);
  if (outcome == OrdersOutcome::Unanswered) {
    // The launch may still arrive, minutes late: only a higher token that the worker has seen shuts it out.
    fence(*m);
    refile(*m, now);
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

}  // namespace corkmux
