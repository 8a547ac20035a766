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
  overdue_timer_.every(constants::kForwardSweep, [this] { give_up_overdue(); });
}

// ---------------------------------------------------------------- messages

void HeartbeatForwarder::leader_changed(const std::string& label) {
  if (label == leader_) return;
  leader_ = label;
  confirmed_.clear();  // what the former leader knew says nothing of the next
  for (auto& waiting : waiting_) waiting.needs_full = true;
  if (!leader_.empty() && !nothing_waits()) schedule(0);
}

void HeartbeatForwarder::forward(const Heartbeat& heartbeat, std::string body, LeaderReplyCallback reply) {
  bool delta = repeats_confirmed(heartbeat);
  if (delta && mutation_enabled("a serving controller answers without the leader"))
    return reply(LeaderReply::answered(
        codec::pack(codec::commands_to_wire(heartbeat.fencing_token, {}, std::nullopt))));
  if (waiting_bytes_ + body.size() > constants::kForwardBytes) return reply(LeaderReply::unavailable());
  waiting_bytes_ += body.size();
  waiting_.push_back({heartbeat, std::move(body), std::move(reply), steady_now(), !delta});
  schedule(delta ? constants::kDeltaBatchDelay : constants::kChangeBatchDelay);
}

void HeartbeatForwarder::add_outcome(CommandOutcome outcome) {
  outcomes_.push_back(std::move(outcome));
  schedule(constants::kChangeBatchDelay);
}

bool HeartbeatForwarder::repeats_confirmed(const Heartbeat& heartbeat) const {
  auto known = confirmed_.find(heartbeat.machine);
  if (known == confirmed_.end() || heartbeat.notice_s) return false;
  Heartbeat same = known->second.heartbeat;
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
  // Beyond that many at once the leader is behind: what comes meanwhile goes with the next.
  while (!leader_.empty() && in_flight_ < constants::kBatchesInFlight && !nothing_waits()) send();
}

void HeartbeatForwarder::add_outcomes(HeartbeatBatch& batch, std::size_t& bytes) {
  while (!outcomes_.empty() && bytes + size_of(outcomes_.front()) <= constants::kBatchBytes) {
    bytes += size_of(outcomes_.front());
    batch.outcomes.push_back(std::move(outcomes_.front()));
    outcomes_.pop_front();
  }
}

ForwardedHeartbeat HeartbeatForwarder::next_entry(const Waiting& waiting) const {
  const Heartbeat& heartbeat = waiting.heartbeat;
  if (waiting.needs_full || !repeats_confirmed(heartbeat)) return {next_id_, FullHeartbeat{waiting.body}};
  auto same_as = confirmed_.at(heartbeat.machine).heartbeat.seq;
  return {next_id_, HeartbeatDelta{heartbeat.machine, heartbeat.worker_epoch, same_as, heartbeat.seq}};
}

HeartbeatBatch HeartbeatForwarder::next_batch(Sent& sent) {
  HeartbeatBatch batch;
  batch.from = own_label_;
  std::size_t bytes = 0;
  add_outcomes(batch, bytes);
  while (!waiting_.empty()) {
    Waiting& waiting = waiting_.front();
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
  auto sent = std::make_shared<Sent>();
  auto batch = next_batch(*sent);
  ++in_flight_;
  post_(leader_, pack(batch), [this, leader = leader_, sent](const http::Result& result) {
    --in_flight_;
    answered(leader, std::move(*sent), result);
    if (!flush_timer_.active()) flush();
  });
}

// ---------------------------------------------------------------- answers

void HeartbeatForwarder::answered(const std::string& leader, Sent sent, const http::Result& result) {
  auto answers = result.ok() ? parse_answers(result.body) : std::nullopt;
  if (answers && leader == leader_) return take_answers(std::move(sent), *answers);
  // Refused, or it never left: nobody has it. Else it may have been taken, and only its answer was lost.
  bool nobody_has_it = !result.sent || result.status == 503 || result.status == 421;
  if (nobody_has_it) return try_again(std::move(sent));
  for (auto& [id, waiting] : sent) waiting.reply(LeaderReply::unanswered());
}

void HeartbeatForwarder::take_answers(Sent sent, const std::vector<HeartbeatAnswer>& answers) {
  bool mixed_up = mutation_enabled("answers of a batch are mixed up");
  for (const auto& answer : answers) {
    auto entry = mixed_up && !sent.empty() ? sent.extract(std::prev(sent.end())) : sent.extract(answer.id);
    if (entry) take_answer(std::move(entry.mapped()), answer);
  }
  // The leader said nothing of the others.
  for (auto& [id, waiting] : sent) waiting.reply(LeaderReply::unanswered());
}

void HeartbeatForwarder::take_answer(Waiting waiting, const HeartbeatAnswer& answer) {
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

void HeartbeatForwarder::try_again(Sent sent) {
  std::for_each(sent.rbegin(), sent.rend(), [this](auto& entry) { put_back(std::move(entry.second)); });
  schedule(constants::kRetryPause);
}

void HeartbeatForwarder::put_back(Waiting waiting) {
  waiting_bytes_ += waiting.body.size();
  waiting_.push_front(std::move(waiting));
}

void HeartbeatForwarder::confirm(const Heartbeat& heartbeat) {
  confirmed_[heartbeat.machine] = {heartbeat, steady_now()};
}

void HeartbeatForwarder::give_up_overdue() {
  double now = steady_now();
  while (!waiting_.empty() && now - waiting_.front().since > constants::kForwardTime) {
    Waiting overdue = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_bytes_ -= overdue.body.size();
    overdue.reply(LeaderReply::unavailable());
  }
  std::erase_if(confirmed_,
                [&](const auto& entry) { return now - entry.second.at > constants::kConfirmedTime; });
}

}  // namespace corkmux::fanin
