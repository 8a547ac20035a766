// Switches from record format 1 to format 2, at most once in a term.
//
// Owns the polling of the controllers' declarations. The scheduler's task record store converts existing
// records when it next writes them; records are never converted back. Used on the leader's actor only.
#pragma once
#include "record_format_negotiation.h"
#include "scheduler.h"
#include "term.h"
#include "time_constants.h"

namespace corkmux {

class RecordFormatUpgrade {
 public:
  RecordFormatUpgrade(RecordFormatNegotiation& negotiation, Scheduler& scheduler, const Term& term)
      : negotiation_(negotiation), scheduler_(scheduler), term_(term) {}

  /// Makes the scheduler write format 2 from now on.
  void upgrade(RecordUpgradeReason reason);
  /// Checks at intervals whether all controllers have declared that they read format 2.
  void poll();

 private:
  RecordFormatNegotiation& negotiation_;
  Scheduler& scheduler_;
  const Term& term_;
  bool polling_ = false;
  double polled_at_ = kLongAgo;
};

}  // namespace corkmux
