// Decides for machines whose leases have expired whether their tasks count as lost.
//
// Owns the observed lease proxy records. An expired lease does not show that the worker is gone: another
// controller may have renewed the lease by proxy, so the proxy records are read after the lease has expired
// and before any task of the machine counts as lost. An actor of one term.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lease_proxy_record.h"
#include "scheduler.h"
#include "settings.h"
#include "state_client.h"
#include "term.h"
#include "time_constants.h"

namespace corkmux {

class LeaseExpiryMonitor : public Actor<LeaseExpiryMonitor> {
 public:
  LeaseExpiryMonitor(Loop& loop, const Settings& settings, StateClient& state, Term& term,
                     Scheduler& scheduler, TermCallbacks callbacks);
  /// Reads the proxy records if a lease has expired or a machine sends no heartbeats.
  void tick();

 private:
  /// The last read revision of a proxy record.
  struct SeenRecord {
    std::uint64_t revision = 0;
    double first_seen = 0;  // s of the steady clock
  };
  using RenewedUntil = std::map<std::string, double>;  // by machine; s of the steady clock
  static constexpr double kPollInterval = 1.5;         // s between reads while a machine sends no heartbeats

  void note_record(const codec::KeyValue& stored, RenewedUntil& renewed_until);
  void records_read(const RenewedUntil& renewed_until, const std::vector<std::string>& expired_before);

  double proxy_lease_s_;  // s for which a proxy's record entitles it to renew leases
  StateClient& state_;
  Term& term_;
  Scheduler& scheduler_;
  TermCallbacks callbacks_;
  bool reading_ = false;
  double read_at_ = kLongAgo;
  std::map<std::string, SeenRecord> records_;  // by key
};

}  // namespace corkmux
