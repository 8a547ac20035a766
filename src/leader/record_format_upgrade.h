// The switch from record format 1 to format 2, once in a term at most.
//
// Owns the poll of what the controllers have declared. What is stored already is converted by the scheduler's
// task record store as it is written anew; nothing is ever converted back. Used on the leader's actor only.
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

  /// Writes format 2 from now on.
  void upgrade(RecordUpgradeReason reason);
  /// Asks, from time to time, whether all controllers have declared that they read format 2.
  void poll();

 private:
  RecordFormatNegotiation& negotiation_;
  Scheduler& scheduler_;
  const Term& term_;
  bool polling_ = false;
  double polled_at_ = kLongAgo;
};

}  // namespace corkmux
