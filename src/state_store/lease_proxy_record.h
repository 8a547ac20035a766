// The record that lists the machines whose leases a lease proxy renews (kLeaseProxyPrefix). The proxy writes
// it, the leader reads it.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "codec.h"

namespace corkmux {

/// Seconds for which a proxy's record entitles it to renew leases.
inline double lease_proxy_span(double lease_s) { return lease_s / 2; }

/// The machines of one proxy.
struct LeaseProxyRecord {
  std::vector<std::string> machines;
  std::uint64_t number = 0;  // of the write; each write creates a new revision, which renews the entitlement
};

/// The stored form.
codec::Json to_json(const LeaseProxyRecord& record);
/// Parses the stored form; an unreadable record lists no machine.
LeaseProxyRecord parse_lease_proxy_record(const codec::Json& record);

}  // namespace corkmux
