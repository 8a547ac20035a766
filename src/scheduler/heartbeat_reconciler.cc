// The book's side of the workers' protocol: reports, orders, leases and what proves a place empty.
#include <algorithm>

#include "constants.h"
#include "mutation.h"
#include "scheduler.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

Scheduler::HeartbeatResult Scheduler::on_heartbeat(const Heartbeat& r, Channel channel, double now) {
  // Guards against ghosts: a held-back report of a machine that was returned must not revive it.
  if (returned_.count(r.machine)) return {};
  Machine& m = state_.add_machine(r.machine, now).first;
  if (!m.up || m.type.empty()) {
    state_.remove_from_index(m);
    m.up = true;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    Resources used;
    for (const auto& key : m.tasks) used += state_.jobs().at(key.job).spec.need;
    if (const auto* t = state_.type(r.type)) m.size = t->size;
    m.free = m.size;
    m.free -= used;
    m.idle_since = now;
    state_.request_cycle();
  }
  if (!r.address.empty()) m.address = r.address;
  state_.mark_for_dispatch(m.name);
  HeartbeatResult result;
  result.fencing_token = m.fencing_token;
  if (r.fencing_token > m.fencing_token && state_.superseded_by(r.fencing_token)) {
    result.superseded = true;
    return result;
  }
  // Late and reordered reports say nothing about the present.
  bool stale = r.worker_epoch < m.worker_epoch || (r.worker_epoch == m.worker_epoch && r.seq <= m.seq);
  if (stale) return result;
  if (r.worker_epoch > m.worker_epoch) {
    if (m.worker_epoch) state_.note("machine " + m.name + " began session " + std::to_string(r.worker_epoch));
    lose_all_tasks(m, "lost its lease", now, r.worker_epoch);
    state_.clear_images(m);
    m.worker_epoch = r.worker_epoch;
    m.seq = 0;
  }
  if (now - m.last_heard > c::kSilentReports * state_.config().report_s) state_.request_cycle();
  m.seq = r.seq;
  m.last_heard = now;
  bool newly_fenced =
      m.observed_token < (state_.first_number()) && r.fencing_token >= (state_.first_number());
  m.observed_token = std::max(m.observed_token, r.fencing_token);
  if (newly_fenced) {
    m.fencing_token_raised_at = now;
    state_.request_cycle();
  }
  if (r.notice_s && !m.gone_at) {
    m.gone_at = now + *r.notice_s;
    state_.note("machine " + m.name + " is taken back in " + std::to_string(static_cast<int>(*r.notice_s)) +
                " s: drained");
  }

  std::set<TaskId> present;
  std::vector<TaskCommand> forget;
  for (const auto& t : r.tasks) {
    TaskId key{t.job, t.index};
    Job* job = state_.job(t.job);
    ActiveTask* a = nullptr;
    if (job)
      if (auto f = job->active.find(t.index); f != job->active.end()) a = &f->second;
    bool ours = a && a->machine == m.name && a->attempt == t.attempt;
    if (t.state == TaskState::Exited) {
      if (ours) {
        present.insert(key);
        exited(*job, t.index, t, m, now);
        a = nullptr;
      }
      // `done` is stored before it is cleared; all other ends may be cleared at once.
      bool keep = false;
      if (t.why == ExitReason::Done && job && !job->cancelled && t.index < job->spec.tasks &&
          job->phase[t.index] == TaskPhase::Done) {
        const TaskRecord& s = record_of(*job, t.index).second;
        keep = s.persisted_generation < s.generation;
      }
      if (!keep) forget.push_back({TaskCommand::Op::Forget, t.job, t.index, t.attempt, 0});
      continue;
    }
    if (!ours) {
      // Nothing we hold stored says that this may run: a cancelled, finished or superseded attempt.
      result.commands.push_back({TaskCommand::Op::Stop, t.job, t.index, t.attempt, 0});
      continue;
    }
    present.insert(key);
    Stage before = a->stage;
    switch (t.state) {
      case TaskState::Fetching:
        a->stage = Stage::Fetching;
        break;
      case TaskState::Waiting:
        a->stage = Stage::Waiting;
        break;
      case TaskState::Running:
        a->stage = Stage::Running;
        break;
      default:
        a->stage = Stage::Saving;
        break;
    }
    if (a->stage == Stage::Running && !a->running_at) a->running_at = now;
    a->worker_epoch = r.worker_epoch;
    a->minimum_token = 0;
    a->after_seq = 0;
    if (a->stage == Stage::Waiting || a->stage == Stage::Running) state_.note_image(m, job->spec);
    if (before != a->stage) state_.mark_changed(t.job);
    if (a->stop && (a->grace_s <= 0 || a->stage != Stage::Saving))
      result.commands.push_back({TaskCommand::Op::Stop, t.job, t.index, t.attempt, a->grace_s});
  }

  // Guards against a late copy of orders that were carried out: once it has cleared an attempt, the worker
  // would start it again. So what clears it carries a token above that of all launches, and waits while any
  // are on their way; until then the worker knows the attempt, and a copy does nothing.
  if (channel == Channel::Heartbeat && !forget.empty() && !m.dispatch_in_flight) {
    if (m.last_launch_token == m.fencing_token && !mutation_enabled("what was cleared can be launched again"))
      m.fencing_token = state_.next_number();
    result.commands.insert(result.commands.end(), forget.begin(), forget.end());
  }

  std::vector<TaskId> absent;
  for (const auto& key : m.tasks)
    if (!present.count(key)) absent.push_back(key);
  for (const auto& key : absent) {
    Job* job = state_.job(key.job);
    if (!job) continue;
    auto f = job->active.find(key.index);
    if (f == job->active.end()) continue;
    const ActiveTask& a = f->second;
    if (a.stage == Stage::Assigned) continue;
    // Absence is proof only once no launch of ours can still arrive: a launch whose fate is unknown raised
    // the machine's token, and this worker has seen it; a launch in a report's answer is settled by the next
    // report.
    if (r.fencing_token < a.minimum_token) continue;
    if (a.after_seq && (channel != Channel::Heartbeat || r.seq <= a.after_seq)) continue;
    gone(key, "no longer has it", now);
  }

  m.heat = 0;
  for (const auto& key : m.tasks) {
    auto stage = state_.jobs().at(key.job).active.at(key.index).stage;
    m.heat += stage != Stage::Running && stage != Stage::Saving;
  }
  double s = m.slack();
  if (m.seen_at > 0 && now > m.seen_at + 0.05) {
    double w = c::kSlopeSmoothing, dt = now - m.seen_at;
    m.slack_slope = (1 - w) * m.slack_slope + w * (s - m.seen_slack) / dt;
    m.heat_slope = (1 - w) * m.heat_slope + w * (m.heat - m.seen_heat) / dt;
  }
  m.seen_slack = s;
  m.seen_heat = m.heat;
  m.seen_at = now;

  if (channel == Channel::Heartbeat) {
    // A machine we cannot reach gets its launches with the answer; its next report settles them.
    if (!m.direct && !m.dispatch_in_flight && state_.usable(m, now)) {
      for (const auto& [id, index] : std::exchange(m.outbox, {})) {
        Job* job = state_.job(id);
        auto f = job ? job->active.find(index) : decltype(job->active.find(0)){};
        if (!job || f == job->active.end() || f->second.worker_epoch != m.worker_epoch || f->second.stop) {
          if (job && f != job->active.end()) unassign(*job, index, now);
          continue;
        }
        f->second.stage = Stage::Sent;
        f->second.minimum_token = 0;
        f->second.after_seq = r.seq;
        m.last_launch = now;
        result.commands.push_back({TaskCommand::Op::Start, id, index, f->second.attempt, 0});
      }
    }
  }
  state_.reindex(m, now);
  if (m.gone_at) drain(m, now);
  result.fencing_token = m.fencing_token;
  return result;
}

void Scheduler::answered(const std::string& name, double now) {
  if (Machine* m = state_.machine(name)) m->last_answered = now;
}

void Scheduler::set_unreachable(const std::string& name, double now) {
  if (Machine* m = state_.machine(name)) {
    m->direct = false;
    m->next_probe_at = now + 2 * state_.config().report_s;
  }
}

bool Scheduler::has_commands(const Machine& m) const {
  if (m.dispatch_in_flight || !m.up || m.address.empty()) return false;
  return m.direct && (!m.outbox.empty() || m.needs_dispatch || m.observed_token < m.required_token);
}

std::vector<std::string> Scheduler::machines_with_commands() {
  std::vector<std::string> out;
  for (const auto& name : state_.take_dispatch_candidates())
    if (const Machine* m = state_.machine(name); m && has_commands(*m)) out.push_back(name);
  return out;
}

CommandBatch Scheduler::take_commands(const std::string& name, double now) {
  CommandBatch out;
  Machine& m = state_.machines().at(name);
  m.dispatch_in_flight = true;
  m.needs_dispatch = false;
  out.fencing_token = m.fencing_token;
  out.worker_epoch = m.worker_epoch;
  for (const auto& [id, index] : m.tasks) {
    const ActiveTask& a = state_.jobs().at(id).active.at(index);
    if (a.stop && a.stage != Stage::Assigned && (a.grace_s <= 0 || a.stage != Stage::Saving))
      out.commands.push_back({TaskCommand::Op::Stop, id, index, a.attempt, a.grace_s});
  }
  for (const auto& [id, index] : std::exchange(m.outbox, {})) {
    Job* job = state_.job(id);
    if (!job) continue;
    auto f = job->active.find(index);
    if (f == job->active.end()) continue;
    ActiveTask& a = f->second;
    if (a.worker_epoch != m.worker_epoch || a.stop || m.decommissioning) {
      unassign(*job, index, now);
      if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
      continue;
    }
    a.stage = Stage::Sent;
    a.minimum_token = kTokenOfNoWorker;  // in flight: no report can prove absence
    m.last_launch = now;
    out.launches.push_back({id, index});
    out.attempts.push_back(a.attempt);
    out.commands.push_back({TaskCommand::Op::Start, id, index, a.attempt, 0});
  }
  if (!out.launches.empty()) m.last_launch_token = m.fencing_token;
  return out;
}

void Scheduler::dispatch_done(const std::string& name, const CommandBatch& command_batch,
                              DispatchOutcome outcome, double now) {
  Machine* m = state_.machine(name);
  if (!m) return;
  m->dispatch_in_flight = false;
  state_.mark_for_dispatch(name);
  if (outcome == DispatchOutcome::Unanswered) {
    // The launch may still arrive, minutes late: only a higher token that the worker has seen shuts it out.
    state_.raise_fencing_token(*m);
    state_.reindex(*m, now);
  }
  if (outcome == DispatchOutcome::Unsent || outcome == DispatchOutcome::Unanswered) {
    m->direct = false;
    m->next_probe_at = now + 2 * state_.config().report_s;
    if (!command_batch.commands.empty()) m->needs_dispatch = true;
  } else {
    m->direct = true;
  }
  for (std::size_t i = 0; i < command_batch.launches.size(); ++i) {
    const auto& [id, index] = command_batch.launches[i];
    Job* job = state_.job(id);
    if (!job) continue;
    auto f = job->active.find(index);
    if (f == job->active.end() || f->second.attempt != command_batch.attempts[i] ||
        f->second.stage != Stage::Sent)
      continue;
    switch (outcome) {
      case DispatchOutcome::Executed:
        f->second.minimum_token = 0;
        break;
      case DispatchOutcome::Unanswered:
        f->second.minimum_token = m->fencing_token;
        break;
      case DispatchOutcome::Refused:
      case DispatchOutcome::Unsent:
        unassign(*job, index, now);
        if (job->spec.kind == JobKind::Gang) abort_gang(*job, now);
        break;
    }
  }
}

void Scheduler::drain(Machine& m, double now) {
  for (const auto& [id, index] : std::set<TaskId>(m.tasks)) {
    Job* job = state_.job(id);
    if (!job) continue;
    auto f = job->active.find(index);
    if (f == job->active.end() || f->second.stop || job->spec.checkpoint_s <= 0) continue;
    ActiveTask& a = f->second;
    if (a.stage != Stage::Running && a.stage != Stage::Waiting && a.stage != Stage::Fetching) continue;
    if (m.gone_at && *m.gone_at - now < job->spec.save_s && !m.faulty) continue;
    double grace = job->spec.save_s + c::kCancelReserve;
    if (job->spec.kind == JobKind::Gang) {
      // An orderly stop reaches every member at once, or the save fails.
      job->draining = true;
      for (auto& [i, other] : job->active) state_.request_stop(*job, i, grace);
    } else {
      state_.request_stop(*job, index, grace);
    }
    job->why = "moved off a machine that is given back";
  }
}

}  // namespace corkmux
