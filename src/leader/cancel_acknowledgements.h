// Up to when the leader knows every cancel that was confirmed to a user.
//
// Two sources say so: the state store, through the watch of job records, and all peers together, which
// acknowledge that they hold no cancel the leader has not heard of. Owns the peers' part for one term. It
// never applies a cancel. Used on the leader's actor only.
#pragma once
#include "job_watcher.h"
#include "term.h"
#include "time_constants.h"

namespace corkmux {

class CancelAcknowledgements {
 public:
  CancelAcknowledgements(const Term& term, const JobWatcher& job_watcher)
      : term_(term), job_watcher_(job_watcher) {}

  /// All peers were heard: none knows a cancel from before `asked_at` that it has not passed on, and the
  /// youngest that any of them knows was confirmed to a user at `youngest`.
  void peers_acknowledged(double asked_at, double youngest);
  /// s of the steady clock up to which every cancel is known.
  double complete_until() const;

 private:
  double stored_until() const;

  const Term& term_;
  const JobWatcher& job_watcher_;
  double acknowledged_until_ = kLongAgo;
};

}  // namespace corkmux
