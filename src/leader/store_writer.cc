#include "store_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "constants.h"
#include "job_record.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
namespace {

bool contains(const std::vector<std::string>& keys, const std::string& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

const char* phase_of_end(bool done) { return done ? job_phase::kDone : job_phase::kCancelled; }

}  // namespace

StoreWriter::StoreWriter(Loop& loop, const Settings& settings, StateClient& state, Term& term,
                         Scheduler& scheduler, JobWatcher& job_watcher, TermCallbacks callbacks,
                         EndedCallback ended)
    : Actor(loop),
      settings_(settings),
      state_(state),
      term_(term),
      scheduler_(scheduler),
      job_watcher_(job_watcher),
      callbacks_(std::move(callbacks)),
      ended_(std::move(ended)),
      // The limits that apply after the upgrade are lower, so transactions and records that keep to them are
      // valid before it as well.
      max_changes_(settings.next.txn_ops),
      allowance_(settings.state_write_rps * kWriteShare),
      allowance_at_(steady_now()),
      timer_(loop) {}

// ---------------------------------------------------------------- budget

double StoreWriter::rate() const {
  double store_rate = scheduler_.uses_v2_records() ? settings_.next.write_rps : settings_.state_write_rps;
  return store_rate * kWriteShare;
}

void StoreWriter::pump_after(double pause_s) {
  timer_.once(pause_s, [this] { pump(); });
}

void StoreWriter::refill_allowance(double now) {
  allowance_ = std::min(rate(), allowance_ + (now - allowance_at_) * rate());
  allowance_at_ = now;
}

void StoreWriter::pump() {
  double now = steady_now();
  refill_allowance(now);
  if (timer_.active() || term_.over()) return;
  remove_later(scheduler_.take_replaced());
  while (in_flight_ < kMaxTransactionsInFlight) {
    if (std::min(max_changes_, static_cast<int>(allowance_)) < kMinChanges)
      return pump_after(kMinChanges / rate());
    if (!write_next(now)) break;
  }
  if (in_flight_ == 0 && allowance_ > rate() / 2) remove_garbage();
}

/// Job ends release dependents, and launches use free machines, so the two take turns; less urgent writes
/// come after both. Returns false if there is nothing to write.
bool StoreWriter::write_next(double now) {
  int most = std::min(max_changes_, static_cast<int>(allowance_));
  auto finished = scheduler_.finished_jobs();
  end_next_ = !end_next_;
  if (end_next_ && !finished.empty()) {
    finalize(finished.front());
    return true;
  }
  auto batch = scheduler_.next_writes(most, finished.empty() && allowance_ > rate() / 2, now);
  if (!batch.empty()) {
    allowance_ -= static_cast<double>(batch.size());
    write_task_records(std::move(batch));
    return true;
  }
  if (finished.empty()) return false;
  finalize(finished.front());
  return true;
}

bool StoreWriter::leader_record_conflict(const StateReply& reply) {
  if (reply.status != StateStatus::Conflict) return false;
  if (!contains(codec::parse_failed(reply.body), kLeaderKey)) return false;
  callbacks_.step_down(StepDownReason::LeaderRecordChanged);
  return true;
}

// ---------------------------------------------------------------- task records

void StoreWriter::write_task_records(Batch batch) {
  ++in_flight_;
  std::vector<codec::Condition> conditions{{kLeaderKey, term_.revision}};
  std::vector<codec::Write> writes;
  std::set<std::string> starting;
  for (const auto& write : batch) {
    conditions.push_back({write.key, write.revision});
    writes.push_back({write.key, write.value, 0});
    // Guards against starting a task of a job whose cancel another controller has confirmed and this leader
    // has not received.
    if (write.launches && !mutation_enabled("starts do not ask for the job's end") &&
        starting.insert(write.job).second)
      conditions.push_back({kFinals + write.job, 0});
  }
  state_.transaction(conditions, writes,
                     term_.guard([this, batch = std::move(batch)](const StateReply& reply) {
                       task_records_written(batch, reply);
                     }));
}

void StoreWriter::task_records_written(const Batch& batch, const StateReply& reply) {
  --in_flight_;
  if (reply.ok()) {
    term_.confirmed(reply.sent_at);
    scheduler_.records_written(batch, codec::parse_revision(reply.body), steady_now());
    return callbacks_.changed();
  }
  if (leader_record_conflict(reply)) return scheduler_.write_failed(batch);
  if (reply.status == StateStatus::Conflict || reply.status == StateStatus::Unanswered)
    return task_records_conflict(batch, reply);
  task_records_refused(batch, reply.status);
}

/// This write, or an earlier one of this leader that was not answered, may have been applied after all. The
/// stored revision is read before the record is written again, so that the later of the two writes fails.
void StoreWriter::task_records_conflict(const Batch& batch, const StateReply& reply) {
  auto failed = codec::parse_failed(reply.body);
  for (const auto& write : batch)
    if (reply.status == StateStatus::Unanswered || contains(failed, write.key))
      read_back(write);
    else
      scheduler_.write_failed({write});
  for (const auto& write : batch)
    if (contains(failed, kFinals + write.job)) apply_stored_cancel(write.job);
  callbacks_.changed();
}

void StoreWriter::task_records_refused(const Batch& batch, StateStatus status) {
  scheduler_.write_failed(batch);
  if (status == StateStatus::Invalid) {
    std::size_t largest = 0;
    for (const auto& write : batch) largest = std::max(largest, codec::json_size(write.value));
    refused(largest);
  }
  pump_after(c::kRetryPause);
}

/// The job has a stored end that this leader has not received, which can only be a cancel. The job's revision
/// stays as it is, so that the removal of its record is conditioned on the revision that was read.
void StoreWriter::apply_stored_cancel(const std::string& id) {
  const Job* job = scheduler_.job(id);
  if (!job || job->cancelled) return;
  spdlog::debug("job {} has a stored end: its tasks are not started", id);
  scheduler_.upsert_job(JobSpec(job->spec), job->revision, true, steady_now());
}

void StoreWriter::read_back(const TaskRecordWrite& write) {
  ++in_flight_;
  state_.get(write.key,
             term_.guard([this, write](const StateReply& reply) { read_back_done(write, reply); }));
}

/// If the same value is stored under a later revision, the write was applied: no other controller writes this
/// record during the term.
void StoreWriter::read_back_done(const TaskRecordWrite& write, const StateReply& reply) {
  --in_flight_;
  auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
  if (kv && kv->revision > write.revision && kv->value == write.value) {
    scheduler_.records_written({write}, kv->revision, steady_now());
    return callbacks_.changed();
  }
  if (kv)
    scheduler_.set_record_revision(write, kv->revision);
  else if (reply.status == StateStatus::Missing)
    scheduler_.set_record_revision(write, 0);
  scheduler_.write_failed({write});
  pump_after(kRevisionReadPause);
}

// ---------------------------------------------------------------- ends of jobs

void StoreWriter::finalize(const std::string& id) {
  Job* job = scheduler_.job(id);
  if (!job) return;
  job->finalizing = true;
  ++in_flight_;
  std::vector<codec::Condition> conditions{{kLeaderKey, term_.revision}, {kJobs + id, job->revision}};
  std::vector<codec::Write> writes{{kJobs + id, std::nullopt, 0}};
  // A job without a stored cancel has no stored end yet: it is done, or one of its dependencies was
  // cancelled.
  bool done = !job->cancelled && !job->dependency_cancelled;
  if (!job->cancelled) {
    // Conditioned on no end being stored yet: the first stored end is final.
    conditions.push_back({kFinals + id, 0});
    JobOutcomeRecord outcome{phase_of_end(done), done ? job->spec.tasks : 0, wall_now()};
    writes.push_back({kFinals + id, to_json(outcome), 0});
  }
  allowance_ -= static_cast<double>(writes.size());
  state_.transaction(conditions, writes,
                     term_.guard([this, id, done](const StateReply& reply) { finalized(id, done, reply); }));
}

void StoreWriter::finalized(const std::string& id, bool done, const StateReply& reply) {
  --in_flight_;
  if (reply.ok()) {
    term_.confirmed(reply.sent_at);
    return end_stored(id, done);
  }
  if (leader_record_conflict(reply)) return;
  if (reply.status == StateStatus::Conflict || reply.status == StateStatus::Unanswered) return reread(id);
  if (Job* job = scheduler_.job(id)) job->finalizing = false;
  if (reply.status == StateStatus::Invalid) refused();
  pump_after(c::kRetryPause);
}

void StoreWriter::end_stored(const std::string& id, bool done) {
  if (const Job* job = scheduler_.job(id)) {
    // The records of a finished job are obsolete, so they are removed when the budget has changes to spare.
    remove_later(scheduler_.record_keys(*job));
    ended_({id, phase_of_end(done), job->spec.tasks, 0, ""});
  }
  remove_later(job_watcher_.take_side_keys(id));
  spdlog::debug("job {} is {}", id, phase_of_end(done));
  scheduler_.record_outcome(id, done ? Scheduler::Outcome::Done : Scheduler::Outcome::Cancelled,
                            steady_now());
  scheduler_.forget_job(id);
  callbacks_.changed();
}

void StoreWriter::record_missing(const std::string& id) {
  Job* job = scheduler_.job(id);
  if (!job || job->finalizing) return;  // the answer to this leader's own write decides
  // Guards quota and capacity: tasks that still run are stopped first, and count until they are confirmed to
  // have ended.
  if (!job->active.empty())
    return scheduler_.upsert_job(JobSpec(job->spec), job->revision, true, steady_now());
  reread(id);
}

void StoreWriter::reread(const std::string& id) {
  ++in_flight_;
  state_.get(kJobs + id, term_.guard([this, id](const StateReply& reply) { reread_done(id, reply); }));
}

void StoreWriter::reread_done(const std::string& id, const StateReply& reply) {
  --in_flight_;
  if (reply.status == StateStatus::Missing) {
    // An earlier, unanswered transaction of this leader has ended the job.
    remove_records_later(id);
    scheduler_.forget_job(id);
  } else {
    if (Job* job = scheduler_.job(id)) job->finalizing = false;
    auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
    if (kv) job_watcher_.apply_record(*kv);
  }
  pump_after(reply.ok() ? kRevisionReadPause : c::kRetryPause);
}

// ---------------------------------------------------------------- removal

void StoreWriter::remove_records_later(const std::string& id) {
  if (const Job* job = scheduler_.job(id)) remove_later(scheduler_.record_keys(*job));
  remove_later(job_watcher_.take_side_keys(id));
}

void StoreWriter::remove_later(std::vector<std::string> keys) {
  garbage_.insert(garbage_.end(), keys.begin(), keys.end());
}

void StoreWriter::remove_garbage() {
  if (removing_ || garbage_.empty()) return;
  removing_ = true;
  int count = std::min<int>(max_changes_, static_cast<int>(garbage_.size()));
  std::vector<codec::Write> writes;
  for (int i = 0; i < count; ++i) writes.push_back({garbage_[static_cast<std::size_t>(i)], std::nullopt, 0});
  allowance_ -= count;
  state_.transaction({{kLeaderKey, term_.revision}}, writes,
                     term_.guard([this, count](const StateReply& reply) {
                       removing_ = false;
                       if (reply.status == StateStatus::Invalid) refused();
                       if (reply.ok()) garbage_.erase(garbage_.begin(), garbage_.begin() + count);
                     }));
}

/// If the refused value is within the present size limit but exceeds the announced lower one, the lower limit
/// applies already. Operators lower it only after the upgrade, so all controllers read format 2. Any other
/// refusal shows only that smaller transactions are needed.
void StoreWriter::refused(std::size_t largest) {
  double kb = static_cast<double>(largest) / 1024;
  if (!scheduler_.uses_v2_records() && kb > settings_.next.value_kb && kb <= settings_.value_kb)
    return callbacks_.upgrade_records(RecordUpgradeReason::StoreLimitsLowered);
  spdlog::warn("the state service refused a transaction as too large: later transactions are smaller");
  max_changes_ = std::max(kMinChanges, max_changes_ / 2);
  scheduler_.records_refused();
}

}  // namespace corkmux
