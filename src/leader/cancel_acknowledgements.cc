#include "cancel_acknowledgements.h"

#include <algorithm>

namespace corkmux {

/// A confirmed term says nothing of cancels, and a watch nothing of the term: the earlier of the two counts.
double CancelAcknowledgements::stored_until() const {
  return std::min(term_.contact, job_watcher_.seen_at());
}

/// Guards against a cancel that the state store has and this leader has not seen, since an answer to its
/// watch was lost: a term that is confirmed says nothing of that.
void CancelAcknowledgements::peers_acknowledged(double asked_at, double youngest) {
  if (youngest < stored_until()) acknowledged_until_ = std::max(acknowledged_until_, asked_at);
}

double CancelAcknowledgements::complete_until() const {
  return std::max(stored_until(), acknowledged_until_);
}

}  // namespace corkmux
