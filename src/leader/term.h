// One term of this controller as leader, from the won election until it ends; what the actors of a term
// share.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "leader_constants.h"

namespace corkmux {

struct Term {
  std::uint64_t number = 0;
  std::uint64_t revision = 0;  // of the leader's record; every write of the term is conditioned on it
  double since = 0;            // s of the steady clock: when the election was won
  double contact = -1e9;       // last moment up to which the state service has confirmed the term
  double woke_at = -1e9;       // when the process last found that it had stood still, see Leader::tick
  bool resigning = false;      // an orderly end is under way: nothing new is started

  void confirmed(double sent_at) { contact = std::max(contact, sent_at); }
  /// Whether the state service has confirmed the term within one life of its grant.
  bool fresh(double now) const { return now - contact < constants::kLeaderLeaseDuration; }
  /// Whether the term was confirmed since the process last stood still.
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
  std::function<void()> changed;                         // the book has changed: see what follows
  std::function<void(const char* why)> over;             // the term has ended
  std::function<void(const char* why)> upgrade_records;  // every controller reads the second form of records
};

}  // namespace corkmux
