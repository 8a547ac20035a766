#include "lease_proxy.h"

#include <spdlog/spdlog.h>

#include <memory>

#include "constants.h"
#include "controller_constants.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
using codec::Json;
namespace {
std::size_t name_bytes(const std::string& name) { return name.size() + 3; }  // quotes and comma
}  // namespace

LeaseProxy::LeaseProxy(Loop& loop, const Settings& settings, StateClient& state)
    : Actor(loop),
      state_(state),
      key_(kLeaseProxyPrefix + settings.label),
      span_(lease_proxy_span(settings.lease_s)),
      forget_after_(settings.lease_s * (1 + c::kClockDrift) + 2 * c::kProofMargin),
      room_(static_cast<std::size_t>(settings.next.value_kb * 1024 * c::kRecordShare)),
      records_(settings.next.txn_ops),
      timer_(loop),
      read_timer_(loop) {}

bool LeaseProxy::entitled(const std::string& machine) const {
  if (mutation_enabled("a keeper answers before its record is stored")) return true;
  return written_.count(machine) && steady_now() - written_at_ < span_ - c::kProofMargin;
}

void LeaseProxy::keep(Heartbeat heartbeat, Reply reply) {
  if (!seen_.count(heartbeat.machine)) {
    // Guards against a record beyond the store's limit; what counts is the names' own length, so that one
    // keeper holds a whole zone.
    if (names_bytes_ + name_bytes(heartbeat.machine) > room_ * static_cast<std::size_t>(records_) * 9 / 10)
      return reply(503, "");
    names_bytes_ += name_bytes(heartbeat.machine);
    spdlog::info("machine {} reaches us but not the leader: kept alive", heartbeat.machine);
  }
  seen_[heartbeat.machine] = steady_now();
  if (entitled(heartbeat.machine)) return check_jobs(heartbeat, reply);
  waiting_.push_back({std::move(heartbeat), std::move(reply)});
  if (waiting_.size() == 1) write();
}

void LeaseProxy::release(const std::string& machine) {
  if (seen_.erase(machine)) names_bytes_ -= name_bytes(machine);
}

void LeaseProxy::write() {
  if (writing_) return;
  timer_.stop();
  writing_ = true;
  if (revisions_)
    store();
  else
    read_own();
}

/// Guards against a worker that no record names though it was answered. A process may be back within a
/// fraction of a second, sooner than the leader looks at records again: whom its former life answered stays
/// in them for as long as that answer may count. And a write of the former life, or one of ours that was
/// given up on, may be applied late: it is conditioned on stamps that are gone by then.
void LeaseProxy::read_own() {
  auto found = std::make_shared<std::pair<std::map<std::string, std::uint64_t>, std::set<std::string>>>();
  state_.read_all(
      key_, "",
      [this, found](codec::KeyValue& kv) {
        if (kv.key != key_ && kv.key.rfind(key_ + "/", 0) != 0)
          return;  // another's, whose name begins as ours
        found->first[kv.key] = kv.revision;
        for (auto& name : machines_in(kv.value)) found->second.insert(std::move(name));
      },
      [this, found](const ReadEnd& end) {
        if (!end.ok()) return stored(false);
        revisions_ = std::move(found->first);
        for (const auto& name : found->second) seen_.try_emplace(name, steady_now());
        store();
      });
}

void LeaseProxy::store() {
  double now = steady_now();
  std::erase_if(seen_, [&](const auto& e) { return now - e.second > forget_after_; });
  // Guards against one that never gets its answer: a worker may be released, by an answer that came late
  // after all, while its next report waits here.
  for (const auto& [heartbeat, answer] : waiting_) seen_.try_emplace(heartbeat.machine, now);
  std::set<std::string> names;
  names_bytes_ = 0;
  for (const auto& [name, at] : seen_) {
    names.insert(name);
    names_bytes_ += name_bytes(name);
  }
  if (names.empty() && revisions_->empty()) {
    writing_ = false;
    return;
  }
  // As many records as their room asks for, all in one transaction.
  std::vector<Json> lists;
  std::size_t bytes = room_;
  for (const auto& name : names) {
    if (bytes + name_bytes(name) > room_) lists.push_back(Json::array()), bytes = 0;
    lists.back().push_back(name);
    bytes += name_bytes(name);
  }
  std::vector<codec::Condition> conditions;
  std::vector<codec::Write> writes;
  for (std::size_t i = 0; i < std::max(lists.size(), revisions_->size()); ++i) {
    std::optional<Json> value;
    if (i < lists.size()) value = Json{{"m", std::move(lists[i])}, {"n", ++count_}};
    std::string key = i ? key_ + "/" + std::to_string(i) : key_;
    auto revision = revisions_->find(key);
    conditions.push_back({key, revision == revisions_->end() ? 0 : revision->second});
    writes.push_back({std::move(key), std::move(value), 0});
  }
  state_.transaction(conditions, writes, [this, names, now, writes](StateReply reply) {
    if (reply.ok()) {
      written_ = names;
      written_at_ = now;
      for (const auto& w : writes) {
        if (w.value)
          (*revisions_)[w.key] = codec::parse_revision(reply.body);
        else
          revisions_->erase(w.key);
      }
    } else if (reply.status != StateStatus::Refused) {
      // Changed by a late write, or it may be there: read again before the next.
      revisions_.reset();
    }
    // Once more at once; who still conflicts then is another process under our name, and takes turns with us.
    conflicts_ = reply.status == StateStatus::Conflict ? conflicts_ + 1 : 0;
    if (conflicts_ == 1) return read_own();
    stored(reply.ok());
  });
}

void LeaseProxy::stored(bool ok) {
  writing_ = false;
  std::vector<std::pair<Heartbeat, Reply>> later;
  for (auto& [heartbeat, answer] : std::exchange(waiting_, {})) {
    if (!ok)
      answer(503, "");
    else if (entitled(heartbeat.machine))
      check_jobs(heartbeat, answer);
    else  // came while this was written
      later.push_back({std::move(heartbeat), std::move(answer)});
  }
  // Guards against sending workers on, into the cut, that only came a moment too late for this write.
  waiting_ = std::move(later);
  timer_.once(waiting_.empty() ? span_ / 3 : c::kLeaseProxyBatchDelay, [this] { write(); });
}

bool LeaseProxy::all_known(const Asking& a) const {
  // Guards against stopping a task whose job was accepted after the jobs were read: only a read that began
  // after the report came shows that a job is over.
  if (read_at_ >= a.since) return true;
  if (steady_now() - read_at_ > c::kKnownJob) return false;
  for (const auto& t : a.heartbeat.tasks)
    if (!jobs_.count(t.job)) return false;
  return true;
}

void LeaseProxy::check_jobs(const Heartbeat& heartbeat, const Reply& reply) {
  Asking a{heartbeat, reply, steady_now()};
  if (all_known(a)) return answer(heartbeat, reply);
  asking_.push_back(std::move(a));
  if (!read_timer_.active() && !reading_)
    read_timer_.once(reading_since_ + c::kJobReads - steady_now(), [this] { read_jobs(); });
}

/// All unfinished jobs in a few pages: a zone's workers run tasks of most of them, so that asking for each
/// would take far more requests.
void LeaseProxy::read_jobs() {
  reading_ = true;
  reading_since_ = steady_now();
  found_.clear();
  cancelled_.clear();
  auto each = [this](const codec::KeyValue& kv) {
    auto id = kv.key.substr(kJobs.size());
    id.resize(std::min(id.size(), id.find('/')));  // a piece or mark of a job's record counts for the job
    (kv.value.value("c", 0) ? cancelled_ : found_).insert(std::move(id));
  };
  state_.read_all(kJobs, "", each, [this](const ReadEnd& end) {
    reading_ = false;
    if (!end.ok()) {
      // In time for the worker to try elsewhere; the others hear of the next read.
      std::vector<Asking> rest;
      for (auto& a : std::exchange(asking_, {})) {
        if (end.status != StateStatus::Refused || steady_now() - a.since > c::kReadTimeout)
          a.reply(503, "");
        else
          rest.push_back(std::move(a));
      }
      asking_ = std::move(rest);
      if (!asking_.empty()) read_timer_.once(c::kRetryPause, [this] { read_jobs(); });
      return;
    }
    for (const auto& id : cancelled_) found_.erase(id);
    jobs_ = std::move(found_);
    read_at_ = reading_since_;
    for (auto& a : std::exchange(asking_, {})) {
      if (all_known(a))
        answer(a.heartbeat, a.reply);
      else
        asking_.push_back(std::move(a));
    }
    if (!asking_.empty())
      read_timer_.once(reading_since_ + c::kJobReads - steady_now(), [this] { read_jobs(); });
  });
}

void LeaseProxy::answer(const Heartbeat& heartbeat, const Reply& reply) {
  if (!entitled(heartbeat.machine)) return reply(503, "");
  std::vector<TaskCommand> stops;
  for (const auto& t : heartbeat.tasks)
    if (!jobs_.count(t.job) && t.state != TaskState::Exited)
      stops.push_back({TaskCommand::Op::Stop, t.job, t.index, t.attempt, 0});
  reply(200, codec::pack(codec::commands_to_wire(heartbeat.fencing_token, stops, std::nullopt)));
}

}  // namespace corkmux
