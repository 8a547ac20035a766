#include "cancel_gossip.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "event_loop.h"
#include "mutation.h"

namespace corkmux {

CancelGossip::CancelGossip(const Settings& settings, Callbacks callbacks)
    : cancel_s_(settings.cancel_s),
      incarnation_((fresh_seed() << 20) ^ static_cast<std::uint64_t>(wall_now() * 1000)),
      limit_(std::max(constants::kUnnumberedCancels,
                      static_cast<std::size_t>(settings.mem_mb * 1024 * 1024 * constants::kCancelMemory /
                                               constants::kCancelBytes))),
      callbacks_(std::move(callbacks)) {
  for (const auto& peer : settings.peers) peers_[peer.label];
}

void CancelGossip::accept(const std::string& job) {
  accepted_.push_back({steady_now(), job});
  callbacks_.cancelled({job});
  if (accepted_.size() <= limit_) return;
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
  std::erase_if(heard_, [&](const auto& entry) { return entry.second < oldest; });
}

/// Again and again, for as long as a cancel may count: a leader of ours may have begun, or may have heard of
/// the job, after it was told.
void CancelGossip::repeat_all() const {
  std::vector<std::string> all;
  all.reserve(accepted_.size() + heard_.size());
  for (const auto& cancel : accepted_) all.push_back(cancel.job);
  for (const auto& [job, at] : heard_) all.push_back(job);
  if (!all.empty()) callbacks_.cancelled(all);
}

CancelAcknowledgement CancelGossip::acknowledged(const std::string& peer) const {
  const Peer& known = peers_.at(peer);
  return {known.incarnation, known.last_heard};
}

void CancelGossip::answer(const SyncRequest& request, SyncAnswer& answer) {
  prune();
  const auto& acknowledged = request.acknowledged;
  std::uint64_t last = first_number_ + accepted_.size() - 1;
  // Numbers mean something only to one who has heard them from this life of ours.
  std::uint64_t after = acknowledged && acknowledged->incarnation == incarnation_ ? acknowledged->number : 0;
  if (!acknowledged && accepted_.size() > constants::kUnnumberedCancels)
    after = last - constants::kUnnumberedCancels;
  bool lost_for_want_of_room = last_lost_ > after && steady_now() - last_lost_at_ <= cancel_s_;
  bool cut_for_former_version = !acknowledged && after >= first_number_;
  answer.cancels_lost = lost_for_want_of_room || cut_for_former_version;
  for (std::uint64_t number = std::max(first_number_, after + 1); number <= last; ++number)
    answer.cancels.push_back(accepted_[static_cast<std::size_t>(number - first_number_)].job);
  answer.last_cancel = last;
}

bool CancelGossip::remember(const std::vector<std::string>& jobs) {
  bool all = true;
  for (const auto& job : jobs) {
    if (heard_.size() < limit_)
      heard_.emplace(job, steady_now());
    else if (!heard_.contains(job))
      all = false;
  }
  return all;
}

/// While the state service is away, a leader that every peer answers misses no cancel: only controllers
/// accept them, and each tells those of the last while. A peer that has begun a new life since we last had
/// the state service may have forgotten some, so it does not count; nor does one that has taken over, since
/// its term would end ours; nor one with whom a name was lost for want of room, there or here. One that was
/// not heard for so long that names have left its list does no harm: nobody was answered meanwhile, so that
/// all that ran then is gone.
void CancelGossip::learn(const std::string& peer_label, const SyncAnswer& answer,
                         const AnswerContext& context) {
  Peer& peer = peers_.at(peer_label);
  if (answer.status.incarnation != peer.incarnation) {
    peer.incarnation = answer.status.incarnation;
    peer.incarnation_seen_at = steady_now();
    peer.last_heard = 0;
  }
  bool all_remembered = remember(answer.cancels);
  if (answer.malformed && !std::exchange(peer.malformed_logged, true))
    spdlog::warn("peer {} sends malformed job ids among its cancels: they are ignored",
                 answer.status.label.empty() ? "?" : answer.status.label);
  if (mutation_enabled("cancels of peers are not heard"))
    heard_.clear();
  else if (!answer.cancels.empty())
    callbacks_.cancelled(answer.cancels);
  peer.last_heard = std::max(peer.last_heard, answer.last_cancel);
  // A name that was lost is not told again: for as long as it may count, nothing is known of the peer's
  // cancels.
  if (answer.malformed || answer.cancels_lost || !all_remembered) peer.lost_at = steady_now();
  bool some_lost = steady_now() - peer.lost_at <= cancel_s_;
  peer.acknowledged_at = some_lost || context.knows_newer_term ? kLongAgo : context.asked_at;
  report_acknowledged(context.asked_at);
}

void CancelGossip::report_acknowledged(double asked_at) const {
  double oldest = asked_at;
  double youngest = kLongAgo;
  for (const auto& [label, peer] : peers_) {
    oldest = std::min(oldest, peer.acknowledged_at);
    youngest = std::max(youngest, peer.incarnation_seen_at);
  }
  callbacks_.all_acknowledged(oldest, youngest);
}

}  // namespace corkmux
