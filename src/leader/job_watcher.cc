#include "job_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <string_view>

#include "constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
namespace {

/// Wait of a watch on job records, s. Without changes, the time up to which the leader has observed cancels
/// lags by as much.
constexpr double kWatchJobsWait = 1.0;

/// The number of a piece of a long record; nullopt for another key beside the record.
std::optional<int> piece_number(std::string_view text) {
  int number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  return number;
}

std::string job_in(const std::string& key) { return key.substr(std::min(kJobs.size(), key.size())); }

}  // namespace

JobWatcher::JobWatcher(Loop& loop, StateClient& state, Term& term, Scheduler& scheduler,
                       TermCallbacks callbacks, RecordMissingCallback record_missing)
    : Actor(loop),
      state_(state),
      term_(term),
      scheduler_(scheduler),
      callbacks_(std::move(callbacks)),
      record_missing_(std::move(record_missing)),
      timer_(loop),
      join_timer_(loop) {}

// ---------------------------------------------------------------- records

void JobWatcher::apply_record(const codec::KeyValue& stored) {
  std::string id = job_in(stored.key);
  if (auto slash = id.find('/'); slash != std::string::npos) {
    id.resize(slash);
    return apply_side_record(id, stored);
  }
  Job* known = scheduler_.job(id);
  if (known && known->revision >= stored.revision) return;
  auto record = parse_job_record(stored.value);
  if (record.holds_spec) {
    if (!put(record, stored.revision)) spdlog::error("unreadable job record {}", stored.key);
  } else if (known) {
    scheduler_.upsert_job(JobSpec(known->spec), stored.revision, record.cancelled, steady_now());
  } else {
    to_join_[id] = {std::move(record), stored.revision};
  }
}

void JobWatcher::apply_side_record(const std::string& job, const codec::KeyValue& stored) {
  if (!scheduler_.job(job)) return;  // a piece is stored before its job's record, and is read with it
  auto& keys = side_keys_[job];
  if (std::find(keys.begin(), keys.end(), stored.key) == keys.end()) keys.push_back(stored.key);
  if (is_marked_cancelled(stored.value)) cancel(job);
}

bool JobWatcher::put(const JobRecord& record, std::uint64_t revision) {
  if (!record.spec) return false;
  // No controller accepts a job with dependencies before all controllers are upgraded.
  if (!record.spec->dependencies.empty()) callbacks_.upgrade_records(RecordUpgradeReason::JobHasDependencies);
  double age_s = record.accepted_at ? std::max(0.0, wall_now() - *record.accepted_at) : 0.0;
  scheduler_.upsert_job(JobSpec(*record.spec), revision, record.cancelled, steady_now(), age_s);
  return true;
}

void JobWatcher::cancel(const std::string& job) {
  const Job* known = scheduler_.job(job);
  scheduler_.upsert_job(JobSpec(known->spec), known->revision, true, steady_now());
}

std::vector<std::string> JobWatcher::take_side_keys(const std::string& job) {
  auto side = side_keys_.find(job);
  if (side == side_keys_.end()) return {};
  auto keys = std::move(side->second);
  side_keys_.erase(side);
  return keys;
}

// ---------------------------------------------------------------- load

void JobWatcher::load(DoneCallback done) {
  observed_until_ = steady_now();
  load_from("", std::move(done));
}

void JobWatcher::load_from(const std::string& after, DoneCallback done) {
  auto loaded = [this, done = std::move(done)](const ReadEnd& end) {
    if (!revision_) revision_ = end.revision;
    if (!end.ok())
      return timer_.once(c::kRetryPause, [this, last = end.last, done] { load_from(last, done); });
    join_pieces(done);
  };
  state_.read_all(kJobs, after, term_.guard([this](const codec::KeyValue& stored) { apply_record(stored); }),
                  term_.guard(std::move(loaded)));
}

/// Reads the pieces of long records, one record after the other, then calls `then`.
void JobWatcher::join_pieces(DoneCallback then) {
  if (to_join_.empty()) {
    joining_ = false;
    return then();
  }
  joining_ = true;
  std::string id = to_join_.begin()->first;
  auto pieces = std::make_shared<Pieces>();
  auto read = [this, id, pieces, then = std::move(then)](const ReadEnd& end) {
    if (!end.ok()) return join_timer_.once(c::kRetryPause, [this, then] { join_pieces(then); });
    joined(id, *pieces);
    join_pieces(then);
  };
  state_.read_all(
      kJobs + id + "/", "",
      [pieces](const codec::KeyValue& stored) { (*pieces)[stored.key] = parse_job_piece(stored.value); },
      term_.guard(std::move(read)));
}

void JobWatcher::joined(const std::string& job, const Pieces& pieces) {
  LongRecord long_record = std::move(to_join_.at(job));
  to_join_.erase(job);
  const std::size_t prefix = kJobs.size() + job.size() + 1;
  std::map<int, std::string> in_order;
  auto& keys = side_keys_[job];
  keys.clear();
  for (const auto& [key, text] : pieces) {
    keys.push_back(key);
    if (auto number = piece_number(std::string_view(key).substr(prefix))) in_order[*number] = text;
  }
  std::string text;
  for (const auto& [number, piece] : in_order) text += piece;
  long_record.record.spec = parse_joined_spec(text);
  if (!put(long_record.record, long_record.revision)) spdlog::error("unreadable job record {}{}", kJobs, job);
}

// ---------------------------------------------------------------- watch

/// A watch waits only kWatchJobsWait: if an answer is lost, cancels that no peer passed on are missed until a
/// later watch is answered, and the leader counts as not having received them (CancelAcknowledgements).
void JobWatcher::follow() {
  state_.watch(kJobs, revision_, kWatchJobsWait,
               term_.guard([this](const StateReply& reply) { watched(reply); }));
}

void JobWatcher::watched(const StateReply& reply) {
  if (!reply.ok()) return watch_failed(reply);
  lost_watches_ = 0;
  observed_until_ = std::max(observed_until_, reply.sent_at);
  auto events = codec::parse_events(reply.body);
  for (auto& event : events.events) {
    if (!event.value) continue;  // this leader removed the record of a finished job
    apply_record({event.key, std::move(*event.value), event.revision});
  }
  join_new_pieces();
  revision_ = std::max(revision_, events.revision);
  follow();
  callbacks_.changed();
}

/// All jobs are read again if the revision is too old, or after several lost answers in a row: an answer
/// contains all changes, so it may be too large to be received.
void JobWatcher::watch_failed(const StateReply& reply) {
  bool lost = reply.status == StateStatus::Unanswered;
  lost_watches_ = lost ? lost_watches_ + 1 : 0;
  if (reply.status == StateStatus::Missing || lost_watches_ >= c::kLostWatchLimit) return read_again();
  timer_.once(c::kRetryPause, [this] { follow(); });
}

void JobWatcher::join_new_pieces() {
  if (!to_join_.empty() && !joining_) join_pieces(callbacks_.changed);
}

/// Reads all records again, to the last page, after changes were missed, and reports the jobs that the
/// scheduler has and the store no longer has.
void JobWatcher::read_again() {
  lost_watches_ = 0;
  double since = steady_now();
  auto seen = std::make_shared<std::unordered_set<std::string>>();
  auto each = [this, seen](const codec::KeyValue& stored) {
    std::string id = stored.key.substr(kJobs.size());
    if (id.find('/') == std::string::npos) seen->insert(id);
    apply_record(stored);
  };
  auto done = [this, seen, since](const ReadEnd& end) {
    if (!end.ok()) return timer_.once(c::kRetryPause, [this] { read_again(); });
    read_again_done(end, *seen, since);
  };
  state_.read_all(kJobs, "", term_.guard(std::move(each)), term_.guard(std::move(done)));
}

void JobWatcher::read_again_done(const ReadEnd& end, const std::unordered_set<std::string>& seen,
                                 double since) {
  observed_until_ = std::max(observed_until_, since);
  std::vector<std::string> missing;
  for (const auto& [id, job] : scheduler_.jobs())
    if (job.revision <= end.revision && !seen.contains(id)) missing.push_back(id);
  for (const auto& id : missing) record_missing_(id);
  join_new_pieces();
  revision_ = end.revision;
  follow();
  callbacks_.changed();
}

// ---------------------------------------------------------------- dependencies

void JobWatcher::look_up_dependencies() {
  double now = steady_now();
  // A dependency that is neither unfinished nor ended was accepted very recently: its watch event is still to
  // come, so it is read again after kJobReadMaxAge.
  if (now - queries_cleared_at_ > c::kJobReadMaxAge) {
    queried_dependencies_.clear();
    queries_cleared_at_ = now;
  }
  for (const auto& id : scheduler_.unknown_dependencies()) {
    if (outcome_reads_in_flight_ >= c::kMaxConcurrentOutcomeReads) return;
    if (!queried_dependencies_.insert(id).second) continue;
    ++outcome_reads_in_flight_;
    state_.get(kFinals + id, term_.guard([this, id](const StateReply& reply) { outcome_read(id, reply); }));
  }
}

void JobWatcher::outcome_read(const std::string& job, const StateReply& reply) {
  --outcome_reads_in_flight_;
  auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
  if (!kv && reply.status != StateStatus::Missing) queried_dependencies_.erase(job);
  if (kv) apply_outcome(job, parse_job_outcome(kv->value));
  if (reply.status == StateStatus::Refused) return;  // the next tick reads it again
  callbacks_.changed();
}

void JobWatcher::apply_outcome(const std::string& job, const JobOutcomeRecord& outcome) {
  // If the record has no time of the end, the job's dependents count from their own acceptance.
  double ended_at = kLongAgo;
  if (outcome.ended_at) ended_at = steady_now() - std::max(0.0, wall_now() - *outcome.ended_at);
  if (outcome.phase == job_phase::kDone) scheduler_.record_outcome(job, Scheduler::Outcome::Done, ended_at);
  if (outcome.phase == job_phase::kCancelled)
    scheduler_.record_outcome(job, Scheduler::Outcome::Cancelled, ended_at);
}

}  // namespace corkmux
