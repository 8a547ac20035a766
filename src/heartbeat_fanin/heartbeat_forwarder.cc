#include "heartbeat_forwarder.h"

#include <algorithm>
#include <iterator>
#include <memory>

#include "constants.h"
#include "heartbeat_fanin_constants.h"
#include "mutation.h"

namespace corkmux::fanin {

HeartbeatForwarder::HeartbeatForwarder(Loop& loop, std::string own_label, Post post)
    : Actor(loop),
      own_label_(std::move(own_label)),
      post_(std::move(post)),
      flush_timer_(loop),
      overdue_timer_(loop) {
  overdue_timer_.every(constants::kOverdueCheckInterval, [this] { refuse_overdue(); });
}

// ---------------------------------------------------------------- messages

void HeartbeatForwarder::leader_changed(const std::string& label) {
  if (label == leader_) return;
  leader_ = label;
  confirmed_.clear();  // the next leader cannot complete deltas to heartbeats that the former one answered
  for (auto& waiting : waiting_) waiting.needs_full = true;
  if (!leader_.empty() && !nothing_pending()) schedule(0);
}

void HeartbeatForwarder::forward(const Heartbeat& heartbeat, std::string body, LeaderReplyCallback reply) {
  bool delta = repeats_confirmed(heartbeat);
  if (delta && mutation_enabled("a fan-in member answers without the leader"))
    return reply(LeaderReply::answered(
        codec::pack(codec::commands_to_wire(heartbeat.fencing_token, {}, std::nullopt))));
  if (waiting_bytes_ + body.size() > constants::kMaxForwardBytes) return reply(LeaderReply::unavailable());
  waiting_bytes_ += body.size();
  waiting_.push_back({heartbeat, std::move(body), std::move(reply), steady_now(), !delta});
  schedule(delta ? constants::kDeltaBatchDelay : constants::kChangeBatchDelay);
}

void HeartbeatForwarder::add_outcome(CommandOutcome outcome) {
  // An outcome whose heartbeat fits into no batch would hold up all outcomes behind it. Without its heartbeat
  // the leader must not conclude anything from it, so it counts as unknown.
  if (size_of(outcome) > constants::kBatchBytes) outcome.reply = WorkerReply::from_wire(0, /*sent=*/true, "");
  outcomes_.push_back(std::move(outcome));
  schedule(constants::kChangeBatchDelay);
}

bool HeartbeatForwarder::repeats_confirmed(const Heartbeat& heartbeat) const {
  auto confirmed = confirmed_.find(heartbeat.machine);
  if (confirmed == confirmed_.end() || heartbeat.notice_s) return false;
  Heartbeat same = confirmed->second.heartbeat;
  same.seq = heartbeat.seq;
  return same == heartbeat;
}

// ---------------------------------------------------------------- batches

void HeartbeatForwarder::schedule(double after_s) {
  double at = steady_now() + after_s;
  if (flush_timer_.active() && flush_at_ <= at) return;
  flush_at_ = at;
  flush_timer_.once(after_s, [this] { flush(); });
}

void HeartbeatForwarder::flush() {
  // With that many batches in flight the leader is behind: heartbeats that arrive meanwhile go into the next
  // batch.
  while (!leader_.empty() && in_flight_ < constants::kMaxBatchesInFlight && !nothing_pending()) send();
}

void HeartbeatForwarder::add_outcomes(HeartbeatBatch& batch, std::size_t& bytes) {
  while (!outcomes_.empty() && bytes + size_of(outcomes_.front()) <= constants::kBatchBytes) {
    bytes += size_of(outcomes_.front());
    batch.outcomes.push_back(std::move(outcomes_.front()));
    outcomes_.pop_front();
  }
}

ForwardedHeartbeat HeartbeatForwarder::next_entry(const PendingHeartbeat& waiting) const {
  const Heartbeat& heartbeat = waiting.heartbeat;
  if (waiting.needs_full || !repeats_confirmed(heartbeat)) return {next_id_, FullHeartbeat{waiting.body}};
  auto base_seq = confirmed_.at(heartbeat.machine).heartbeat.seq;
  return {next_id_, HeartbeatDelta{heartbeat.machine, heartbeat.worker_epoch, base_seq, heartbeat.seq}};
}

HeartbeatBatch HeartbeatForwarder::next_batch(SentHeartbeats& sent) {
  HeartbeatBatch batch;
  batch.from = own_label_;
  std::size_t bytes = 0;
  add_outcomes(batch, bytes);
  while (!waiting_.empty()) {
    PendingHeartbeat& waiting = waiting_.front();
    auto entry = next_entry(waiting);
    bytes += size_of(entry);
    bool first = batch.heartbeats.empty() && batch.outcomes.empty();
    if (bytes > constants::kBatchBytes && !first) break;
    batch.heartbeats.push_back(std::move(entry));
    waiting_bytes_ -= waiting.body.size();
    sent.emplace(next_id_++, std::move(waiting));
    waiting_.pop_front();
  }
  return batch;
}

void HeartbeatForwarder::send() {
  auto sent = std::make_shared<SentHeartbeats>();
  auto batch = next_batch(*sent);
  ++in_flight_;
  post_(leader_, pack(batch), [this, leader = leader_, sent](const http::Result& result) {
    --in_flight_;
    answered(leader, std::move(*sent), result);
    if (!flush_timer_.active()) flush();
  });
}

// ---------------------------------------------------------------- answers

void HeartbeatForwarder::answered(const std::string& leader, SentHeartbeats sent,
                                  const http::Result& result) {
  auto answers = result.ok() ? parse_answers(result.body) : std::nullopt;
  if (answers && leader == leader_) return deliver_answers(std::move(sent), *answers);
  // A batch that was refused or never sent was not processed. Any other may have been processed, with only
  // its answer lost.
  bool not_processed = !result.sent || result.status == 503 || result.status == 421;
  if (not_processed) return retry(std::move(sent));
  for (auto& [id, waiting] : sent) waiting.reply(LeaderReply::unanswered());
}

void HeartbeatForwarder::deliver_answers(SentHeartbeats sent, const std::vector<HeartbeatAnswer>& answers) {
  bool swapped = mutation_enabled("answers of a batch are swapped");
  for (const auto& answer : answers) {
    auto entry = swapped && !sent.empty() ? sent.extract(std::prev(sent.end())) : sent.extract(answer.id);
    if (entry) deliver_answer(std::move(entry.mapped()), answer);
  }
  // The message has no answer of the leader to the others.
  for (auto& [id, waiting] : sent) waiting.reply(LeaderReply::unanswered());
}

void HeartbeatForwarder::deliver_answer(PendingHeartbeat waiting, const HeartbeatAnswer& answer) {
  const auto* reply = std::get_if<LeaderReply>(&answer.content);
  if (!reply) {
    waiting.needs_full = true;
    confirmed_.erase(waiting.heartbeat.machine);
    put_back(std::move(waiting));
    return schedule(0);
  }
  if (reply->is_answered() && waiting.needs_full) confirm(waiting.heartbeat);
  waiting.reply(*reply);
}

void HeartbeatForwarder::retry(SentHeartbeats sent) {
  std::for_each(sent.rbegin(), sent.rend(), [this](auto& entry) { put_back(std::move(entry.second)); });
  schedule(constants::kRetryPause);
}

void HeartbeatForwarder::put_back(PendingHeartbeat waiting) {
  waiting_bytes_ += waiting.body.size();
  waiting_.push_front(std::move(waiting));
}

void HeartbeatForwarder::confirm(const Heartbeat& heartbeat) {
  confirmed_[heartbeat.machine] = {heartbeat, steady_now()};
}

void HeartbeatForwarder::refuse_overdue() {
  double now = steady_now();
  while (!waiting_.empty() && now - waiting_.front().arrived_at > constants::kForwardTimeout) {
    PendingHeartbeat overdue = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_bytes_ -= overdue.body.size();
    overdue.reply(LeaderReply::unavailable());
  }
  std::erase_if(confirmed_,
                [&](const auto& entry) { return now - entry.second.at > constants::kConfirmedRetention; });
}

}  // namespace corkmux::fanin
