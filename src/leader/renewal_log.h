// Counts the leader's decisions on renewing workers' leases and logs them periodically, one line for all
// workers, so that a log shows on which knowledge leases were renewed.
//
// Owns the counts since the last line. Used on the leader's actor only.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>

#include "time_constants.h"

namespace corkmux {

/// What the leader decided on a heartbeat.
enum class RenewalDecision {
  Direct,          // renewed; the worker reached this controller
  Forwarded,       // renewed; another controller forwarded the heartbeat
  StoreRelay,      // renewed; the heartbeat came through the state store
  CancelsUnknown,  // not renewed: cancels may have been missed for too long
  ForeignToken     // not renewed: the worker has a token that this leader did not issue
};
inline constexpr std::size_t kRenewalDecisions = 5;

class RenewalLog {
 public:
  void count(RenewalDecision decision) { ++counts_[static_cast<std::size_t>(decision)]; }
  /// Logs the counts and starts them anew, if kInterval has passed since the last line and there are any.
  /// `cancels_known_age_s`: time for which cancels may have been missed.
  void log_if_due(double now, std::uint64_t term, double cancels_known_age_s);

 private:
  static constexpr double kInterval = 10;  // s

  std::uint64_t counted(RenewalDecision decision) const {
    return counts_[static_cast<std::size_t>(decision)];
  }

  std::array<std::uint64_t, kRenewalDecisions> counts_{};
  double logged_at_ = kLongAgo;
};

}  // namespace corkmux
