// Tells every controller of the cancels that any of them accepted, so that a leader misses none while the
// state service is away. Owns the cancels of the last `cancel_s`, our own and the peers', and how much of
// each peer's we have heard. Sends nothing itself: PeerExchange carries what it says.
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
inline constexpr std::size_t kUnnumberedCancels = 500;  // in one list to a peer of a former version
inline constexpr double kCancelMemory = 0.02;  // of our memory for our own cancels, and for the peers'
inline constexpr double kCancelBytes = 150;    // of memory for one of them
}  // namespace constants

class CancelGossip {
 public:
  struct Callbacks {
    /// Jobs whose cancel was accepted somewhere; a job may be named again and again.
    std::function<void(const std::vector<std::string>& jobs)> cancelled;
    /// Every peer was asked at or after `asked_at` and told all its cancels; the youngest incarnation of a
    /// peer was first seen at `youngest`.
    std::function<void(double asked_at, double youngest)> all_acknowledged;
  };
  /// What a peer's answer to us says beside its cancels.
  struct AnswerContext {
    double asked_at;        // s of the steady clock
    bool knows_newer_term;  // than we do
  };
  CancelGossip(const Settings& settings, Callbacks callbacks);

  /// A user was told by this controller that the job is cancelled.
  void accept(const std::string& job);
  /// Forgets what is older than `cancel_s`.
  void prune();
  /// Names all cancels known once more.
  void repeat_all() const;

  /// Tells our life from the next; peers' acknowledgements name it.
  std::uint64_t incarnation() const { return incarnation_; }
  /// Up to where we have heard a peer's cancels.
  CancelAcknowledgement acknowledged(const std::string& peer) const;
  /// Puts the cancels that an asker has not heard of yet into the answer to it.
  void answer(const SyncRequest& request, SyncAnswer& answer);
  /// A peer's answer to us.
  void learn(const std::string& peer, const SyncAnswer& answer, const AnswerContext& context);

 private:
  struct Cancel {
    double at;  // s of the steady clock
    std::string job;
  };
  struct Peer {
    std::uint64_t incarnation = 0;
    double incarnation_seen_at = kLongAgo;
    double acknowledged_at = kLongAgo;  // up to then we know all of its cancels
    double lost_at = kLongAgo;          // when names of its cancels were last lost, there or here
    std::uint64_t last_heard = 0;       // number of its last cancel that we have heard
    bool malformed_logged = false;
  };
  /// Whether there was room for all.
  bool remember(const std::vector<std::string>& jobs);
  void report_acknowledged(double asked_at) const;

  double cancel_s_;
  std::uint64_t incarnation_;
  std::size_t limit_;
  Callbacks callbacks_;
  std::deque<Cancel> accepted_;                    // here, numbered in their order
  std::uint64_t first_number_ = 1;                 // of the front
  std::uint64_t last_lost_ = 0;                    // number of the last that there was no room for
  double last_lost_at_ = kLongAgo;                 // when that one was accepted
  std::unordered_map<std::string, double> heard_;  // accepted elsewhere -> when we first heard of it
  std::map<std::string, Peer> peers_;
};

}  // namespace corkmux
