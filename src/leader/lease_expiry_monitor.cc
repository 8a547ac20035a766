#include "lease_expiry_monitor.h"

#include <algorithm>
#include <memory>

#include "mutation.h"
#include "store_keys.h"

namespace corkmux {

LeaseExpiryMonitor::LeaseExpiryMonitor(Loop& loop, const Settings& settings, StateClient& state, Term& term,
                                       Scheduler& scheduler, TermCallbacks callbacks)
    : Actor(loop),
      proxy_lease_s_(lease_proxy_span(settings.lease_s)),
      state_(state),
      term_(term),
      scheduler_(scheduler),
      callbacks_(std::move(callbacks)) {}

/// Guards against starting a task a second time: the read begins after the leases have expired, so a proxy
/// whose record is not found cannot have renewed them in time. All pages are read: a proxy on an unread page
/// would count as absent.
void LeaseExpiryMonitor::tick() {
  auto expired = scheduler_.machines_with_expired_leases(steady_now());
  bool poll = scheduler_.any_silent() && steady_now() - read_at_ > kPollInterval;
  if ((expired.empty() && !poll) || reading_) return;
  read_at_ = steady_now();
  reading_ = true;
  auto renewed_until = std::make_shared<RenewedUntil>();
  auto each = [this, renewed_until](const codec::KeyValue& stored) { note_record(stored, *renewed_until); };
  auto done = [this, renewed_until, expired = std::move(expired)](const ReadEnd& end) {
    reading_ = false;
    if (end.ok()) records_read(*renewed_until, expired);
  };
  state_.read_all(kLeaseProxyPrefix, "", term_.guard(std::move(each)), term_.guard(std::move(done)));
}

void LeaseExpiryMonitor::note_record(const codec::KeyValue& stored, RenewedUntil& renewed_until) {
  SeenRecord& record = records_[stored.key];
  if (record.revision != stored.revision) record = {stored.revision, steady_now()};
  for (const auto& machine : parse_lease_proxy_record(stored.value).machines) {
    double& until = renewed_until[machine];
    until = std::max(until, record.first_seen + proxy_lease_s_);
  }
}

void LeaseExpiryMonitor::records_read(const RenewedUntil& renewed_until,
                                      const std::vector<std::string>& expired_before) {
  double now = steady_now();
  if (!mutation_enabled("lease proxy records are ignored"))
    for (const auto& [machine, until] : renewed_until) scheduler_.renewed_by_proxy(machine, until);
  const auto expired = scheduler_.machines_with_expired_leases(now);
  for (const auto& machine : expired_before)
    if (std::binary_search(expired.begin(), expired.end(), machine)) scheduler_.lease_expired(machine, now);
  callbacks_.changed();
}

}  // namespace corkmux
