// One term of this controller as leader, from the won election until it ends, and the types that the actors
// of a term share.
//
// Owns the term's number, the time up to which the state store has confirmed the term, and whether it is
// over. The leader lease is renewed by Election. Used on the leader's actor only.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "time_constants.h"

namespace corkmux {

namespace constants {
inline constexpr double kLeaderLeaseDuration = 3.0;  // s; a dead leader blocks its successor for so long
}

/// Why a term ended.
enum class StepDownReason {
  LeaseExpired,         // the state store no longer has the leader lease
  LeaderRecordChanged,  // a write conflicted with another leader's record
  PeerReportedNewerLeader,
  WorkerFollowsNewerLeader,
  LaunchNotFenced,     // only a higher token, of a new term, fences a launch of a cancelled job in time
  TokensSuperseded,    // workers have higher fencing tokens than this term's, or these are used up
  HandlerFailed,       // an unexpected exception: the scheduler's state may be incomplete
  UnreadableRecords,   // a newer version of corkmux has written the stored state
  WorkersUnreachable,  // no heartbeat arrives although machines are up
  Shutdown
};
/// The text of the reason for the log.
std::string_view to_string(StepDownReason reason);

/// Why all controllers are known to read format 2, so that records are written in it.
enum class RecordUpgradeReason {
  AllControllersDeclared,  // each has stored that it reads format 2
  JobHasDependencies,      // no controller accepts such a job before all are upgraded
  StoreLimitsLowered       // operators do so only after the upgrade
};
/// The text of the reason for the log.
std::string_view to_string(RecordUpgradeReason reason);

struct Term {
  std::uint64_t number = 0;
  std::uint64_t revision = 0;         // of the leader's record; every write of the term is conditioned on it
  double since = 0;                   // s of the steady clock: when the election was won
  double confirmed_until = kLongAgo;  // latest time for which the state store has confirmed the term
  double stall_detected_at = kLongAgo;  // see Leader::confirmed_since_stall()
  bool resigning = false;               // a shutdown is under way: nothing new is started

  /// The state store has confirmed the term as of `sent_at`.
  void confirmed(double sent_at) { confirmed_until = std::max(confirmed_until, sent_at); }
  /// Whether the state store has confirmed the term within one duration of the leader lease.
  bool recently_confirmed(double now) const {
    return now - confirmed_until < constants::kLeaderLeaseDuration;
  }
  /// Whether the term was confirmed since the process last stalled.
  bool confirmed_since_stall() const { return confirmed_until >= stall_detected_at; }

  /// Wraps a callback so that it does nothing once the term is over: an actor of the term may
  /// no longer exist.
  template <typename Fn>
  auto guard(Fn fn) const {
    return [live = live_, fn = std::move(fn)](auto&&... args) {
      if (*live) fn(std::forward<decltype(args)>(args)...);
    };
  }
  void end() { *live_ = false; }
  bool over() const { return !*live_; }

 private:
  std::shared_ptr<bool> live_ = std::make_shared<bool>(true);
};

/// Callbacks from the actors of a term to the leader.
struct TermCallbacks {
  std::function<void()> changed;                             // the scheduler's state has changed
  std::function<void(StepDownReason)> step_down;             // the term has ended
  std::function<void(RecordUpgradeReason)> upgrade_records;  // every controller reads record format 2
};

}  // namespace corkmux
