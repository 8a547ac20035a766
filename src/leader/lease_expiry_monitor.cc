#include "lease_expiry_monitor.h"

#include <algorithm>
#include <memory>

#include "leader_constants.h"
#include "lease_proxy_record.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

LeaseExpiryMonitor::LeaseExpiryMonitor(Loop& loop, const Settings& settings, StateClient& state, Term& term,
                                       Scheduler& scheduler, TermCallbacks callbacks)
    : Actor(loop),
      span_(lease_proxy_span(settings.lease_s)),
      state_(state),
      term_(term),
      scheduler_(scheduler),
      callbacks_(std::move(callbacks)) {}

void LeaseExpiryMonitor::tick() {
  auto machines_with_expired_leases = scheduler_.machines_with_expired_leases(steady_now());
  bool look = scheduler_.any_silent() && steady_now() - asked_at_ > c::kLeaseProxyPollInterval;
  if ((machines_with_expired_leases.empty() && !look) || asking_) return;
  asked_at_ = steady_now();
  // Guards against a second start: the read begins after the leases are over, so a keeper whose record it
  // does not show cannot have answered in time. It goes to the last page: a keeper on a page that was not
  // read would look like none.
  asking_ = true;
  auto renewed_by_proxy = std::make_shared<std::map<std::string, double>>();
  state_.read_all(kLeaseProxyPrefix, "", term_.guard([this, renewed_by_proxy](codec::KeyValue& kv) {
    double now = steady_now();
    auto& [revision, first_seen] = records_[kv.key];
    if (revision != kv.revision) revision = kv.revision, first_seen = now;
    for (const auto& name : machines_in(kv.value))
      (*renewed_by_proxy)[name] = std::max((*renewed_by_proxy)[name], first_seen + span_);
  }),
                  term_.guard([this, renewed_by_proxy, machines_with_expired_leases](const ReadEnd& end) {
                    asking_ = false;
                    if (!end.ok()) return;
                    double now = steady_now();
                    if (!mutation_enabled("keepers are not asked"))
                      for (const auto& [name, until] : *renewed_by_proxy)
                        scheduler_.renewed_by_proxy(name, until);
                    auto still = scheduler_.machines_with_expired_leases(now);
                    for (const auto& name : machines_with_expired_leases)
                      if (std::find(still.begin(), still.end(), name) != still.end())
                        scheduler_.lease_expired(name, now);
                    callbacks_.changed();
                  }));
}

}  // namespace corkmux
