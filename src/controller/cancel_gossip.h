// Passes the cancels that any controller accepted to every other controller, so that a leader misses none
// while the state store is unavailable. Owns the cancels of the last `cancel_s`, those of this controller and
// of its peers, and the number up to which each peer's cancels were received. Sends nothing itself:
// PeerExchange transports its messages.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "settings.h"
#include "sync_message.h"
#include "time_constants.h"

namespace corkmux {

namespace constants {
/// Cancels in one list to a peer of a former version.
inline constexpr std::size_t kUnnumberedCancelLimit = 500;
/// Share of mem_mb for the cancels accepted by this controller, and as much for the peers'.
inline constexpr double kCancelMemoryShare = 0.02;
inline constexpr double kBytesPerCancel = 150;  // bytes of memory for one cancel
}  // namespace constants

class CancelGossip {
 public:
  struct Callbacks {
    /// Jobs whose cancel some controller accepted; the same job may be passed many times.
    std::function<void(const std::vector<std::string>& jobs)> cancelled;
    /// Every peer answered, with all its cancels, a request sent at or after `requested_at`; the newest
    /// incarnation of any peer was first seen at `newest_incarnation_seen_at`.
    std::function<void(double requested_at, double newest_incarnation_seen_at)> all_acknowledged;
  };
  /// Facts about a peer's answer besides its cancels.
  struct AnswerContext {
    double requested_at;  // when the request was sent, s of the steady clock
    bool has_newer_term;  // whether the peer's term is newer than this controller's
  };
  CancelGossip(const Settings& settings, Callbacks callbacks);

  /// Records that this controller confirmed the cancel of the job to a user.
  void accept(const std::string& job);
  /// Drops cancels older than `cancel_s`.
  void prune();
  /// Passes all stored cancels to Callbacks::cancelled again.
  void repeat_all() const;

  /// Identifies this incarnation of the process; acknowledgements by peers carry it.
  std::uint64_t incarnation() const { return incarnation_; }
  /// Up to which number the peer's cancels were received, and from which incarnation.
  CancelAcknowledgement acknowledged(const std::string& peer) const;
  /// Adds to `answer` the cancels that the sender of `request` has not received yet.
  void answer(const SyncRequest& request, SyncAnswer& answer);
  /// Takes in the cancels of a peer's answer to a request of this controller.
  void receive_answer(const std::string& peer, const SyncAnswer& answer, const AnswerContext& context);

 private:
  struct Cancel {
    double at;  // s of the steady clock
    std::string job;
  };
  struct Peer {
    std::uint64_t incarnation = 0;
    double incarnation_seen_at = kLongAgo;
    double acknowledged_at = kLongAgo;  // all cancels it accepted until then were received
    double lost_at = kLongAgo;          // when cancels of it were last lost, by either side
    std::uint64_t last_received = 0;    // number of its last cancel that was received
    bool malformed_logged = false;
  };
  /// Returns whether all jobs could be stored within the limit.
  bool remember(const std::vector<std::string>& jobs);
  void report_acknowledged(double requested_at) const;

  double cancel_s_;
  std::uint64_t incarnation_;
  std::size_t cancel_limit_;  // cancels stored at most, for accepted_ and for peer_cancels_ each
  Callbacks callbacks_;
  std::deque<Cancel> accepted_;     // by this controller, numbered in their order
  std::uint64_t first_number_ = 1;  // of the front of accepted_
  std::uint64_t last_lost_ = 0;     // number of the last one dropped for lack of capacity
  double last_lost_at_ = kLongAgo;  // when the cancel last_lost_ was accepted
  std::unordered_map<std::string, double> peer_cancels_;  // accepted by a peer -> when first received
  std::map<std::string, Peer> peers_;
};

}  // namespace corkmux
