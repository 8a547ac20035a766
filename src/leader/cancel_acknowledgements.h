// Computes the time up to which the leader has received every cancel that was confirmed to a user.
//
// There are two sources: the state store, through the watch on job records, and all peers together, which
// acknowledge that they hold no cancel that the leader has not received. Owns the peers' acknowledgement for
// one term; it never applies a cancel. Used on the leader's actor only.
#pragma once
#include "job_watcher.h"
#include "term.h"
#include "time_constants.h"

namespace corkmux {

class CancelAcknowledgements {
 public:
  CancelAcknowledgements(const Term& term, const JobWatcher& job_watcher)
      : term_(term), job_watcher_(job_watcher) {}

  /// All peers answered: none of them holds a cancel from before `queried_at` that it has not passed on, and
  /// the youngest incarnation of a peer was first seen at `youngest_seen_at`.
  void peers_acknowledged(double queried_at, double youngest_seen_at);
  /// Time up to which every cancel has been received, s of the steady clock.
  double complete_until() const;

 private:
  double stored_until() const;

  const Term& term_;
  const JobWatcher& job_watcher_;
  double acknowledged_until_ = kLongAgo;
};

}  // namespace corkmux
