#include "renewal_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace corkmux {

void RenewalLog::log_if_due(double now, std::uint64_t term, double cancels_known_age_s) {
  const bool any = std::any_of(counts_.begin(), counts_.end(), [](std::uint64_t count) { return count > 0; });
  if (!any || now - logged_at_ < kInterval) return;
  logged_at_ = now;
  spdlog::info(
      "leases renewed by the leader: term={} direct={} forwarded={} store_relay={} "
      "refused_cancels_unknown={} "
      "refused_foreign_token={} cancels_known_age_s={:.1f}",
      term, counted(RenewalDecision::Direct), counted(RenewalDecision::Forwarded),
      counted(RenewalDecision::StoreRelay), counted(RenewalDecision::CancelsUnknown),
      counted(RenewalDecision::ForeignToken), cancels_known_age_s);
  counts_ = {};
}

}  // namespace corkmux
