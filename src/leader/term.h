// One term of this controller as leader, from the won election until it ends, and what the actors of a term
// share.
//
// Owns the term's number, how far the state store has confirmed it, and whether it is over. It never renews
// the leader lease: that is the election's. Used on the leader's actor only.
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
inline constexpr double kLeaderLeaseDuration = 3.0;  // s; how long a dead leader blocks its successor
}

/// Why a term ended.
enum class StepDownReason {
  LeaseExpired,         // the state store no longer has the leader lease
  LeaderRecordChanged,  // a write found another leader's record
  PeerKnowsNewerLeader,
  WorkerObeysNewerLeader,
  UnreadableRecords,   // a newer version of corkmux has written the stored state
  WorkersUnreachable,  // no heartbeat comes although machines are up
  Shutdown
};
/// The reason as the log gives it.
std::string_view to_string(StepDownReason reason);

/// Why records are written in format 2 from now on.
enum class RecordUpgradeReason {
  AllControllersDeclared,  // each has stored that it reads format 2
  JobHasDependencies,      // no controller accepts such a job before all are upgraded
  StoreLimitsLowered       // which operators do only after the upgrade
};
/// The reason as the log gives it.
std::string_view to_string(RecordUpgradeReason reason);

struct Term {
  std::uint64_t number = 0;
  std::uint64_t revision = 0;  // of the leader's record; every write of the term is conditioned on it
  double since = 0;            // s of the steady clock: when the election was won
  double contact = kLongAgo;   // last moment up to which the state store has confirmed the term
  double woke_at = kLongAgo;   // when the process last found that it had stalled, see Leader::awake()
  bool resigning = false;      // a shutdown is under way: nothing new is started

  /// The state store has confirmed the term as of `sent_at`.
  void confirmed(double sent_at) { contact = std::max(contact, sent_at); }
  /// Whether the state store has confirmed the term within one life of its lease.
  bool fresh(double now) const { return now - contact < constants::kLeaderLeaseDuration; }
  /// Whether the term was confirmed since the process last stalled.
  bool awake() const { return contact >= woke_at; }

  /// A callback that does nothing once the term is over: an actor of the term may be gone by then.
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

/// How the actors of a term speak to the leader.
struct TermCallbacks {
  std::function<void()> changed;                             // the scheduler's state has changed
  std::function<void(StepDownReason)> step_down;             // the term has ended
  std::function<void(RecordUpgradeReason)> upgrade_records;  // every controller reads record format 2
};

}  // namespace corkmux
