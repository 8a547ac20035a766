#include "cancel_acknowledgements.h"

#include <algorithm>

namespace corkmux {

/// A confirmed term does not show that all cancels were received, and an answered watch does not confirm the
/// term: the earlier of the two times counts.
double CancelAcknowledgements::stored_until() const {
  return std::min(term_.confirmed_until, job_watcher_.observed_until());
}

/// A peer that restarted after `stored_until()` may have lost cancels that it accepted in its previous
/// incarnation. Such a cancel is in the state store, but this leader has not received it if an answer to its
/// watch was lost; a confirmed term does not rule that out. So the acknowledgement does not count then.
void CancelAcknowledgements::peers_acknowledged(double queried_at, double youngest_seen_at) {
  if (youngest_seen_at < stored_until()) acknowledged_until_ = std::max(acknowledged_until_, queried_at);
}

double CancelAcknowledgements::complete_until() const {
  return std::max(stored_until(), acknowledged_until_);
}

}  // namespace corkmux
