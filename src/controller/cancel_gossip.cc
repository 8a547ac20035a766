#include "cancel_gossip.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "event_loop.h"
#include "mutation.h"

namespace corkmux {

CancelGossip::CancelGossip(const Settings& settings, Callbacks callbacks)
    : cancel_s_(settings.cancel_s),
      incarnation_((fresh_seed() << 20) ^ static_cast<std::uint64_t>(wall_now() * 1000)),
      cancel_limit_(
          std::max(constants::kUnnumberedCancelLimit,
                   static_cast<std::size_t>(settings.mem_mb * 1024 * 1024 * constants::kCancelMemoryShare /
                                            constants::kBytesPerCancel))),
      callbacks_(std::move(callbacks)) {
  for (const auto& peer : settings.peers) peers_[peer.label];
}

void CancelGossip::accept(const std::string& job) {
  accepted_.push_back({steady_now(), job});
  callbacks_.cancelled({job});
  if (accepted_.size() <= cancel_limit_) return;
  last_lost_ = first_number_++;
  last_lost_at_ = accepted_.front().at;
  accepted_.pop_front();
}

void CancelGossip::prune() {
  double oldest = steady_now() - cancel_s_;
  while (!accepted_.empty() && accepted_.front().at < oldest) {
    accepted_.pop_front();
    ++first_number_;
  }
  std::erase_if(peer_cancels_, [&](const auto& entry) { return entry.second < oldest; });
}

/// Cancels are repeated for as long as they may count: this controller may have become leader, or its leader
/// may have received the job, only after the cancel was first passed on.
void CancelGossip::repeat_all() const {
  std::vector<std::string> all;
  all.reserve(accepted_.size() + peer_cancels_.size());
  for (const auto& cancel : accepted_) all.push_back(cancel.job);
  for (const auto& [job, at] : peer_cancels_) all.push_back(job);
  if (!all.empty()) callbacks_.cancelled(all);
}

CancelAcknowledgement CancelGossip::acknowledged(const std::string& peer) const {
  const Peer& state = peers_.at(peer);
  return {state.incarnation, state.last_received};
}

void CancelGossip::answer(const SyncRequest& request, SyncAnswer& answer) {
  prune();
  const auto& acknowledged = request.acknowledged;
  std::uint64_t last = first_number_ + accepted_.size() - 1;
  // Acknowledged numbers are valid only if this incarnation assigned them.
  std::uint64_t after = acknowledged && acknowledged->incarnation == incarnation_ ? acknowledged->number : 0;
  if (!acknowledged && accepted_.size() > constants::kUnnumberedCancelLimit)
    after = last - constants::kUnnumberedCancelLimit;
  bool dropped_for_capacity = last_lost_ > after && steady_now() - last_lost_at_ <= cancel_s_;
  bool truncated_for_former_version = !acknowledged && after >= first_number_;
  answer.cancels_lost = dropped_for_capacity || truncated_for_former_version;
  for (std::uint64_t number = std::max(first_number_, after + 1); number <= last; ++number)
    answer.cancels.push_back(accepted_[static_cast<std::size_t>(number - first_number_)].job);
  answer.last_cancel = last;
}

bool CancelGossip::remember(const std::vector<std::string>& jobs) {
  bool all = true;
  for (const auto& job : jobs) {
    if (peer_cancels_.size() < cancel_limit_)
      peer_cancels_.emplace(job, steady_now());
    else if (!peer_cancels_.contains(job))
      all = false;
  }
  return all;
}

/// While the state store is unavailable, a leader that every peer answers misses no cancel: only controllers
/// accept cancels, and each sends those of the last `cancel_s`. Three kinds of peers do not count as
/// answering: a peer with a new incarnation since this controller last reached the state store, because it
/// may have lost cancels; a peer with a newer term, because that term would end this controller's; and a peer
/// of which either side dropped a cancel for lack of capacity. A peer that was unreachable for so long that
/// cancels have left its list does no harm: no heartbeat was answered meanwhile, so that all tasks that ran
/// then have ended.
void CancelGossip::receive_answer(const std::string& peer_label, const SyncAnswer& answer,
                                  const AnswerContext& context) {
  Peer& peer = peers_.at(peer_label);
  if (answer.status.incarnation != peer.incarnation) {
    peer.incarnation = answer.status.incarnation;
    peer.incarnation_seen_at = steady_now();
    peer.last_received = 0;
  }
  bool all_remembered = remember(answer.cancels);
  if (answer.malformed && !std::exchange(peer.malformed_logged, true))
    spdlog::warn("peer {} sends malformed job ids among its cancels: they are ignored",
                 answer.status.label.empty() ? "?" : answer.status.label);
  if (mutation_enabled("cancels of peers are dropped"))
    peer_cancels_.clear();
  else if (!answer.cancels.empty())
    callbacks_.cancelled(answer.cancels);
  peer.last_received = std::max(peer.last_received, answer.last_cancel);
  // A lost cancel is not sent again: for as long as it may count, the peer's cancels are incomplete.
  if (answer.malformed || answer.cancels_lost || !all_remembered) peer.lost_at = steady_now();
  bool some_lost = steady_now() - peer.lost_at <= cancel_s_;
  peer.acknowledged_at = some_lost || context.has_newer_term ? kLongAgo : context.requested_at;
  report_acknowledged(context.requested_at);
}

void CancelGossip::report_acknowledged(double requested_at) const {
  double oldest = requested_at;
  double newest_incarnation_seen_at = kLongAgo;
  for (const auto& [label, peer] : peers_) {
    oldest = std::min(oldest, peer.acknowledged_at);
    newest_incarnation_seen_at = std::max(newest_incarnation_seen_at, peer.incarnation_seen_at);
  }
  callbacks_.all_acknowledged(oldest, newest_incarnation_seen_at);
}

}  // namespace corkmux
