// Finds out what became of machines whose leases have expired.
//
// Owns what has been seen of the lease proxies' records. Time alone is no proof that a worker is gone:
// another controller may have renewed its lease by proxy, so these records are read after the lease has
// expired and before anything counts as gone. An actor of one term.
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
  /// Reads the proxies' records if a lease has expired or a machine is silent.
  void tick();

 private:
  /// A proxy's record as it was last read.
  struct SeenRecord {
    std::uint64_t revision = 0;
    double first_seen = 0;  // s of the steady clock
  };
  using RenewedUntil = std::map<std::string, double>;  // by machine; s of the steady clock
  static constexpr double kPollInterval = 1.5;         // s between reads while a machine is silent

  void note_record(const codec::KeyValue& stored, RenewedUntil& renewed_until);
  void records_read(const RenewedUntil& renewed_until, const std::vector<std::string>& expired_before);

  double proxy_lease_s_;  // for which a proxy's record entitles it to renew leases
  StateClient& state_;
  Term& term_;
  Scheduler& scheduler_;
  TermCallbacks callbacks_;
  bool reading_ = false;
  double read_at_ = kLongAgo;
  std::map<std::string, SeenRecord> records_;  // by key
};

}  // namespace corkmux
