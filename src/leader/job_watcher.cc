#include "job_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>

#include "constants.h"
#include "leader_constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
using codec::Json;

JobWatcher::JobWatcher(Loop& loop, StateClient& state, Term& term, Scheduler& scheduler,
                       TermCallbacks callbacks, std::function<void(const std::string&)> vanished)
    : Actor(loop),
      state_(state),
      term_(term),
      scheduler_(scheduler),
      callbacks_(std::move(callbacks)),
      vanished_(std::move(vanished)),
      timer_(loop),
      join_timer_(loop) {}

bool JobWatcher::put(const Json& value, std::uint64_t revision) {
  auto j = value.find("j");
  if (j == value.end()) return false;
  auto parsed = codec::parse_job(*j);
  if (!parsed.job) return false;
  // Nothing new is asked before all are new.
  if (!parsed.job->dependencies.empty()) callbacks_.upgrade_records("a job awaits others");
  scheduler_.put_job(*parsed.job, revision, value.value("c", 0) != 0, steady_now(),
                     std::max(0.0, wall_now() - value.value("t", wall_now())));
  return true;
}

void JobWatcher::load(std::function<void()> done) {
  seen_at_ = steady_now();
  load_from("", std::move(done));
}

void JobWatcher::load_from(const std::string& after, std::function<void()> done) {
  state_.read_all(
      kJobs, after,
      term_.guard([this](codec::KeyValue& kv) { record(kv.key, std::move(kv.value), kv.revision); }),
      term_.guard([this, done = std::move(done)](const ReadEnd& end) {
        if (!revision_) revision_ = end.revision;
        if (!end.ok())
          return timer_.once(c::kRetryPause, [this, last = end.last, done] { load_from(last, done); });
        join_pieces(done);
      }));
}

/// A job's record, a piece of one that is too long for one value, or the mark of a cancel where the record
/// cannot be written again.
void JobWatcher::record(const std::string& key, Json value, std::uint64_t revision) {
  std::string id = key.substr(std::min(kJobs.size(), key.size()));
  Job* known = nullptr;
  if (auto slash = id.find('/'); slash != std::string::npos) {
    id.resize(slash);
    known = scheduler_.job(id);
    if (!known) return;  // a piece comes before its job, and is read with it
    auto& keys = side_keys_[id];
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) keys.push_back(key);
    if (value.value("c", 0)) scheduler_.put_job(JobSpec(known->spec), known->revision, true, steady_now());
    return;
  }
  known = scheduler_.job(id);
  if (known && known->revision >= revision) return;
  if (value.contains("j")) {
    if (!put(value, revision)) spdlog::error("unreadable job record {}", key);
  } else if (known) {
    scheduler_.put_job(JobSpec(known->spec), revision, value.value("c", 0) != 0, steady_now());
  } else {
    to_join_[id] = {std::move(value), revision};
  }
}

void JobWatcher::join_pieces(std::function<void()> then) {
  if (to_join_.empty()) {
    joining_ = false;
    return then();
  }
  joining_ = true;
  std::string id = to_join_.begin()->first, prefix = kJobs + id + "/";
  auto pieces = std::make_shared<std::map<std::string, Json>>();
  state_.read_all(
      prefix, "", [pieces](codec::KeyValue& kv) { (*pieces)[kv.key] = std::move(kv.value); },
      term_.guard([this, id, prefix, pieces, then = std::move(then)](const ReadEnd& end) {
        if (!end.ok()) return join_timer_.once(c::kRetryPause, [this, then] { join_pieces(then); });
        auto [value, revision] = std::move(to_join_.at(id));
        to_join_.erase(id);
        std::map<int, std::string> in_order;
        auto& keys = side_keys_[id];
        keys.clear();
        for (const auto& [key, piece] : *pieces) {
          keys.push_back(key);
          in_order[std::atoi(key.c_str() + prefix.size())] = piece.value("x", "");
        }
        std::string text;
        for (const auto& [n, piece] : in_order) text += piece;
        value["j"] = Json::parse(text, nullptr, false);
        if (!put(value, revision)) spdlog::error("unreadable job record {}{}", kJobs, id);
        join_pieces(then);
      }));
}

void JobWatcher::follow() {
  // Guards against cancels that nobody told us of while an answer is lost: what was not seen by a watch that
  // was sent later counts as unknown (Leader::knows_cancels_at), so a watch does not wait for long.
  state_.watch(kJobs, revision_, c::kJobsWait, term_.guard([this](StateReply reply) {
    if (reply.ok()) {
      lost_watches_ = 0;
      seen_at_ = std::max(seen_at_, reply.sent_at);
      auto events = codec::parse_events(reply.body);
      // Removals are our own, of jobs that are over.
      for (auto& e : events.events)
        if (e.value) record(e.key, std::move(*e.value), e.revision);
      if (!to_join_.empty() && !joining_) join_pieces(callbacks_.changed);
      revision_ = std::max(revision_, events.revision);
      follow();
      return callbacks_.changed();
    }
    // Too old; or, since an answer holds all changes however many, too large for us to take.
    bool lost = reply.status == StateStatus::Unanswered;
    lost_watches_ = lost ? lost_watches_ + 1 : 0;
    if (reply.status == StateStatus::Missing || lost_watches_ >= c::kLostWatchLimit) return read_again();
    timer_.once(c::kRetryPause, [this] { follow(); });
  }));
}

/// Changes in between are lost: everything is read once more, to its last page, and what is in the book but
/// no longer in the store is looked into.
void JobWatcher::read_again() {
  lost_watches_ = 0;
  double since = steady_now();
  auto seen = std::make_shared<std::unordered_set<std::string>>();
  state_.read_all(kJobs, "", term_.guard([this, seen](codec::KeyValue& kv) {
    std::string id = kv.key.substr(kJobs.size());
    if (id.find('/') == std::string::npos) seen->insert(id);
    record(kv.key, std::move(kv.value), kv.revision);
  }),
                  term_.guard([this, seen, since](const ReadEnd& end) {
                    if (!end.ok()) return timer_.once(c::kRetryPause, [this] { read_again(); });
                    seen_at_ = std::max(seen_at_, since);
                    std::vector<std::string> missing;
                    for (const auto& [id, job] : scheduler_.jobs())
                      if (job.revision <= end.revision && !seen->count(id)) missing.push_back(id);
                    for (const auto& id : missing) vanished_(id);
                    if (!to_join_.empty() && !joining_) join_pieces(callbacks_.changed);
                    revision_ = end.revision;
                    follow();
                    callbacks_.changed();
                  }));
}

/// How awaited jobs ended that this leader has not seen end.
void JobWatcher::look_up_dependencies() {
  double now = steady_now();
  // One that is in neither place was accepted just now: its event is on the way.
  if (now - asked_at_ > c::kKnownJob) asked_.clear(), asked_at_ = now;
  for (const auto& id : scheduler_.unknown()) {
    if (reads_ >= c::kOutcomeReads) return;
    if (!asked_.insert(id).second) continue;
    ++reads_;
    state_.get(kFinals + id, term_.guard([this, id](StateReply reply) {
      --reads_;
      auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
      if (!kv && reply.status != StateStatus::Missing) asked_.erase(id);
      if (kv) {
        auto phase = kv->value.value("p", "");
        // A record of the first version does not say when: then its dependents count from their
        // own acceptance.
        double at = kv->value.contains("t")
                        ? steady_now() - std::max(0.0, wall_now() - kv->value.value("t", 0.0))
                        : -1e9;
        if (phase == "done" || phase == "cancelled")
          scheduler_.outcome(id, phase == "done" ? Scheduler::Outcome::Done : Scheduler::Outcome::Cancelled,
                             at);
      }
      if (reply.status == StateStatus::Refused) return;  // the tick asks again
      callbacks_.changed();
    }));
  }
}

std::vector<std::string> JobWatcher::take_side_keys(const std::string& job) {
  auto side = side_keys_.find(job);
  if (side == side_keys_.end()) return {};
  auto keys = std::move(side->second);
  side_keys_.erase(side);
  return keys;
}

}  // namespace corkmux
