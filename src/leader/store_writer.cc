#include "store_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "constants.h"
#include "leader_constants.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

StoreWriter::StoreWriter(Loop& loop, const Settings& settings, StateClient& state, Term& term,
                         Scheduler& scheduler, JobWatcher& job_watcher, TermCallbacks callbacks,
                         std::function<void(codec::JobView)> ended)
    : Actor(loop),
      settings_(settings),
      state_(state),
      term_(term),
      scheduler_(scheduler),
      job_watcher_(job_watcher),
      callbacks_(std::move(callbacks)),
      ended_(std::move(ended)),
      // Smaller transactions and records than were allowed before the upgrade are allowed then as well.
      txn_ops_(settings.next.txn_ops),
      allowance_(settings.state_write_rps * c::kLeaderWriteShare),
      allowance_at_(steady_now()),
      timer_(loop) {}

double StoreWriter::rate() const {
  return (scheduler_.uses_v2_records() ? settings_.next.write_rps : settings_.state_write_rps) *
         c::kLeaderWriteShare;
}

void StoreWriter::pump_after(double pause_s) {
  timer_.once(pause_s, [this] { pump(); });
}

void StoreWriter::pump() {
  double now = steady_now();
  allowance_ = std::min(rate(), allowance_ + (now - allowance_at_) * rate());
  allowance_at_ = now;
  if (timer_.active() || term_.over()) return;
  remove_later(scheduler_.take_replaced());
  while (in_flight_ < c::kMaxTransactionsInFlight) {
    int most = std::min(txn_ops_, static_cast<int>(allowance_));
    if (most < 2) return pump_after(2 / rate());
    // Ends free what awaits them and launches free machines' time, so the two take turns; the rest comes
    // after.
    auto over = scheduler_.finished_jobs();
    end_next_ = !end_next_;
    if (end_next_ && !over.empty()) {
      finalize(over.front());
      continue;
    }
    auto batch = scheduler_.next_writes(most, over.empty() && allowance_ > rate() / 2, now);
    if (!batch.empty()) {
      allowance_ -= static_cast<double>(batch.size());
      write_task_records(std::move(batch));
    } else if (!over.empty()) {
      finalize(over.front());
    } else {
      break;
    }
  }
  if (in_flight_ == 0 && allowance_ > rate() / 2) remove_garbage();
}

bool StoreWriter::deposed(const StateReply& reply) {
  if (reply.status != StateStatus::Conflict) return false;
  auto failed = codec::parse_failed(reply.body);
  if (!std::count(failed.begin(), failed.end(), kLeaderKey)) return false;
  callbacks_.over("the leader's record changed");
  return true;
}

void StoreWriter::write_task_records(std::vector<TaskRecordWrite> batch) {
  ++in_flight_;
  std::vector<codec::Condition> conditions{{kLeaderKey, term_.revision}};
  std::vector<codec::Write> writes;
  std::set<std::string> starting;
  for (const auto& w : batch) {
    conditions.push_back({w.key, w.revision});
    writes.push_back({w.key, w.value, 0});
    // Guards against starting what another controller has confirmed as cancelled and we have not heard of.
    if (w.launches && !mutation_enabled("starts do not ask for the job's end") &&
        starting.insert(w.job).second)
      conditions.push_back({kFinals + w.job, 0});
  }
  state_.txn(conditions, writes, term_.guard([this, batch = std::move(batch)](StateReply reply) {
    --in_flight_;
    if (reply.ok()) {
      term_.confirmed(reply.sent_at);
      scheduler_.written(batch, codec::parse_revision(reply.body), steady_now());
      return callbacks_.changed();
    }
    if (deposed(reply)) return scheduler_.write_failed(batch);
    if (reply.status == StateStatus::Conflict || reply.status == StateStatus::Unanswered) {
      // This write or an earlier one of ours, taken for lost, may have been applied after all: what stands
      // there is read before it is written again, so that whichever of the two comes last fails.
      auto failed = codec::parse_failed(reply.body);
      auto differs = [&](const std::string& key) {
        return std::count(failed.begin(), failed.end(), key) > 0;
      };
      for (const auto& w : batch)
        if (reply.status == StateStatus::Unanswered || differs(w.key))
          read_back(w);
        else
          scheduler_.write_failed({w});
      for (const auto& w : batch)
        if (differs(kFinals + w.job)) has_end(w.job);
      return callbacks_.changed();
    }
    scheduler_.write_failed(batch);
    if (reply.status == StateStatus::Invalid) {
      std::size_t largest = 0;
      for (const auto& w : batch) largest = std::max(largest, w.value.dump().size());
      refused(largest);
    }
    pump_after(c::kRetryPause);
  }));
}

/// An end is stored of it, which we have not heard of: a cancel. Its stamps tell when it is to be removed.
void StoreWriter::has_end(const std::string& id) {
  const Job* job = scheduler_.job(id);
  if (!job || job->cancelled) return;
  spdlog::debug("job {} has its end: nothing of it is started", id);
  scheduler_.put_job(JobSpec(job->spec), job->revision, true, steady_now());
}

/// What stands there under another stamp and says the same is as good as an answer: it was written under this
/// term's stamp, for nobody else writes it.
void StoreWriter::read_back(const TaskRecordWrite& w) {
  ++in_flight_;
  state_.get(w.key, term_.guard([this, w](StateReply read) {
    --in_flight_;
    auto kv = read.ok() ? codec::parse_value(read.body) : std::nullopt;
    if (kv && kv->revision > w.revision && kv->value == w.value) {
      scheduler_.written({w}, kv->revision, steady_now());
      return callbacks_.changed();
    }
    if (kv)
      scheduler_.set_record_revision(w, kv->revision);
    else if (read.status == StateStatus::Missing)
      scheduler_.set_record_revision(w, 0);
    scheduler_.write_failed({w});
    pump_after(c::kRevisionReadPause);
  }));
}

void StoreWriter::finalize(const std::string& id) {
  Job* job = scheduler_.job(id);
  if (!job) return;
  job->finalizing = true;
  ++in_flight_;
  std::vector<codec::Condition> conditions{{kLeaderKey, term_.revision}, {kJobs + id, job->revision}};
  std::vector<codec::Write> writes{{kJobs + id, std::nullopt, 0}};
  // A job whose end no cancel has stored yet: it is done, or a job that it needs was cancelled.
  bool done = !job->cancelled && !job->dependency_cancelled;
  if (!job->cancelled) {
    // Conditioned on no other end having been stored: the first to be stored stands for good.
    conditions.push_back({kFinals + id, 0});
    codec::Json end = {
        {"p", done ? "done" : "cancelled"}, {"n", done ? job->spec.tasks : 0}, {"t", wall_now()}};
    writes.push_back({kFinals + id, std::move(end), 0});
  }
  allowance_ -= static_cast<double>(writes.size());
  state_.txn(conditions, writes, term_.guard([this, id, done](StateReply reply) {
    --in_flight_;
    Job* j = scheduler_.job(id);
    if (reply.ok()) {
      term_.confirmed(reply.sent_at);
      if (j) {
        // Records of a job that is over say nothing any more, so they go when changes are to
        // spare.
        remove_later(scheduler_.record_keys(*j));
        ended_({id, done ? "done" : "cancelled", j->spec.tasks, 0, ""});
      }
      remove_later(job_watcher_.take_side_keys(id));
      spdlog::debug("job {} is {}", id, done ? "done" : "cancelled");
      scheduler_.outcome(id, done ? Scheduler::Outcome::Done : Scheduler::Outcome::Cancelled, steady_now());
      scheduler_.forget_job(id);
      return callbacks_.changed();
    }
    if (deposed(reply)) return;
    if (reply.status == StateStatus::Conflict || reply.status == StateStatus::Unanswered) return reread(id);
    if (j) j->finalizing = false;
    if (reply.status == StateStatus::Invalid) refused();
    pump_after(c::kRetryPause);
  }));
}

void StoreWriter::vanished(const std::string& id) {
  Job* job = scheduler_.job(id);
  if (!job || job->finalizing) return;  // the answer to our own write will tell
  // Guards quota and places: what still runs of it is stopped first, and its places count until there is
  // proof.
  if (!job->active.empty()) return scheduler_.put_job(JobSpec(job->spec), job->revision, true, steady_now());
  reread(id);
}

void StoreWriter::reread(const std::string& id) {
  ++in_flight_;
  state_.get(kJobs + id, term_.guard([this, id](StateReply reply) {
    --in_flight_;
    if (reply.status == StateStatus::Missing) {
      // An earlier, unanswered transaction of ours had ended it; what else is stored of it says nothing more.
      if (const Job* j = scheduler_.job(id)) remove_later(scheduler_.record_keys(*j));
      remove_later(job_watcher_.take_side_keys(id));
      scheduler_.forget_job(id);
    } else {
      if (Job* j = scheduler_.job(id)) j->finalizing = false;
      if (reply.ok())
        if (auto kv = codec::parse_value(reply.body))
          job_watcher_.record(kv->key, std::move(kv->value), kv->revision);
    }
    pump_after(reply.ok() ? c::kRevisionReadPause : c::kRetryPause);
  }));
}

void StoreWriter::remove_later(std::vector<std::string> keys) {
  garbage_.insert(garbage_.end(), keys.begin(), keys.end());
}

void StoreWriter::remove_garbage() {
  if (removing_ || garbage_.empty()) return;
  removing_ = true;
  int n = std::min<int>(txn_ops_, static_cast<int>(garbage_.size()));
  std::vector<codec::Write> writes;
  for (int i = 0; i < n; ++i) writes.push_back({garbage_[static_cast<std::size_t>(i)], std::nullopt, 0});
  allowance_ -= n;
  state_.txn({{kLeaderKey, term_.revision}}, writes, term_.guard([this, n](StateReply reply) {
    removing_ = false;
    if (reply.status == StateStatus::Invalid) refused();
    if (reply.ok()) garbage_.erase(garbage_.begin(), garbage_.begin() + n);
  }));
}

/// A value that keeps to the limit so far, and not to the one to come, was refused: that one has come, which
/// the operators promise only for after the upgrade. Any other refusal proves nothing but that less is taken.
void StoreWriter::refused(std::size_t largest) {
  double kb = static_cast<double>(largest) / 1024;
  if (!scheduler_.uses_v2_records() && kb > settings_.next.value_kb && kb <= settings_.value_kb)
    return callbacks_.upgrade_records("the state service has lowered its limits");
  spdlog::warn("the state service refuses a transaction as too large: smaller ones follow");
  txn_ops_ = std::max(2, txn_ops_ / 2);
  scheduler_.records_refused();
}

}  // namespace corkmux
