#include "heartbeat_forwarder.h"

#include <algorithm>

#include "constants.h"
#include "heartbeat_fanin_constants.h"
#include "mutation.h"

namespace corkmux::fanin {
namespace c = constants;

HeartbeatForwarder::HeartbeatForwarder(Loop& loop, std::string own_label, Post post)
    : Actor(loop),
      own_label_(std::move(own_label)),
      post_(std::move(post)),
      flush_timer_(loop),
      overdue_timer_(loop) {
  overdue_timer_.every(c::kForwardSweep, [this] { give_up_overdue(); });
}

void HeartbeatForwarder::leader_changed(const std::string& label) {
  if (label == leader_) return;
  leader_ = label;
  confirmed_.clear();  // what the former leader knew says nothing of the next
  for (auto& w : waiting_) w.whole = true;
  if (!leader_.empty() && !(waiting_.empty() && outcomes_.empty())) schedule(0);
}

/// Whether it says what the leader has answered before, but for its number.
bool HeartbeatForwarder::unchanged(const Heartbeat& heartbeat) const {
  auto known = confirmed_.find(heartbeat.machine);
  if (known == confirmed_.end() || heartbeat.notice_s) return false;
  Heartbeat same = known->second.heartbeat;
  same.seq = heartbeat.seq;
  return same == heartbeat;
}

void HeartbeatForwarder::forward(const Heartbeat& heartbeat, std::string body, Reply reply) {
  if (mutation_enabled("a serving controller answers without the leader") && unchanged(heartbeat))
    return reply(200, codec::pack(codec::commands_to_wire(heartbeat.fencing_token, {}, std::nullopt)));
  if (waiting_bytes_ + body.size() > c::kForwardBytes) return reply(503, "");
  bool whole = !unchanged(heartbeat);
  waiting_bytes_ += body.size();
  waiting_.push_back({heartbeat, std::move(body), std::move(reply), steady_now(), whole});
  schedule(whole ? c::kChangeBatchDelay : c::kDeltaBatchDelay);
}

void HeartbeatForwarder::add_outcome(CommandOutcome outcome) {
  outcomes_.push_back(std::move(outcome));
  schedule(c::kChangeBatchDelay);
}

void HeartbeatForwarder::schedule(double after_s) {
  double at = steady_now() + after_s;
  if (flush_timer_.active() && flush_at_ <= at) return;
  flush_at_ = at;
  flush_timer_.once(after_s, [this] { flush(); });
}

void HeartbeatForwarder::flush() {
  // Beyond that many at once the leader is behind: what comes meanwhile goes with the next.
  while (!leader_.empty() && in_flight_ < c::kBatchesInFlight && !(waiting_.empty() && outcomes_.empty()))
    send();
}

/// As much as one message may carry, the oldest first.
HeartbeatBatch HeartbeatForwarder::next_batch(Sent& sent) {
  HeartbeatBatch batch;
  batch.from = own_label_;
  std::size_t bytes = 0;
  while (!outcomes_.empty() && bytes + size_of(outcomes_.front()) <= c::kBatchBytes) {
    bytes += size_of(outcomes_.front());
    batch.outcomes.push_back(std::move(outcomes_.front()));
    outcomes_.pop_front();
  }
  while (!waiting_.empty()) {
    Waiting& w = waiting_.front();
    ForwardedHeartbeat entry;
    entry.id = next_id_;
    if (w.whole || !unchanged(w.heartbeat)) {
      entry.body = w.body;
    } else {
      entry.machine = w.heartbeat.machine;
      entry.worker_epoch = w.heartbeat.worker_epoch;
      entry.same_as = confirmed_.at(w.heartbeat.machine).heartbeat.seq;
      entry.number = w.heartbeat.seq;
    }
    bytes += size_of(entry);
    bool first = batch.heartbeats.empty() && batch.outcomes.empty();
    if (bytes > c::kBatchBytes && !first) break;
    batch.heartbeats.push_back(std::move(entry));
    waiting_bytes_ -= w.body.size();
    sent.emplace(next_id_++, std::move(w));
    waiting_.pop_front();
  }
  return batch;
}

void HeartbeatForwarder::send() {
  Sent sent;
  auto batch = next_batch(sent);
  ++in_flight_;
  auto shared = std::make_shared<Sent>(std::move(sent));
  post_(leader_, pack(batch), [this, leader = leader_, shared](http::Result result) {
    --in_flight_;
    answered(leader, std::move(*shared), result);
    if (!flush_timer_.active()) flush();
  });
}

void HeartbeatForwarder::answered(const std::string& leader, Sent sent, const http::Result& result) {
  auto answers = result.ok() ? parse_answers(result.body) : std::nullopt;
  if (answers && leader == leader_) return take_answers(std::move(sent), *answers);
  // Refused, or it never left: nobody has it. Else it may have been taken, and only its answer was lost.
  bool untaken = !result.sent || result.status == 503 || result.status == 421;
  if (untaken) return try_again(std::move(sent));
  for (auto& [id, w] : sent) w.reply(0, "");
}

void HeartbeatForwarder::take_answers(Sent sent, const std::vector<HeartbeatAnswer>& answers) {
  bool mixed_up = mutation_enabled("answers of a batch are mixed up");
  for (const auto& a : answers) {
    auto entry = mixed_up && !sent.empty() ? sent.extract(std::prev(sent.end())) : sent.extract(a.id);
    if (!entry) continue;
    Waiting& w = entry.mapped();
    if (a.status == kFullHeartbeatRequired) {
      w.whole = true;
      confirmed_.erase(w.heartbeat.machine);
      waiting_bytes_ += w.body.size();
      waiting_.push_front(std::move(w));
      schedule(0);
      continue;
    }
    if (a.status == 200 && w.whole) confirm(w.heartbeat);
    w.reply(a.status, a.body);
  }
  for (auto& [id, w] : sent) w.reply(0, "");  // the leader said nothing of it
}

void HeartbeatForwarder::try_again(Sent sent) {
  for (auto entry = sent.rbegin(); entry != sent.rend(); ++entry) {
    waiting_bytes_ += entry->second.body.size();
    waiting_.push_front(std::move(entry->second));
  }
  schedule(c::kRetryPause);
}

void HeartbeatForwarder::confirm(const Heartbeat& heartbeat) {
  auto& known = confirmed_[heartbeat.machine];
  known.heartbeat = heartbeat;
  known.at = steady_now();
}

/// Workers whose report no leader took in time are sent on, before they give up by themselves.
void HeartbeatForwarder::give_up_overdue() {
  double now = steady_now();
  while (!waiting_.empty() && now - waiting_.front().since > c::kForwardTime) {
    Waiting w = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_bytes_ -= w.body.size();
    w.reply(503, "");
  }
  std::erase_if(confirmed_, [&](const auto& entry) { return now - entry.second.at > c::kConfirmedTime; });
}

}  // namespace corkmux::fanin
