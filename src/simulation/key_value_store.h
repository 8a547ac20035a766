// Keys with revisions, conditional transactions, leases and a bounded history of changes: what the state
// service keeps, in memory. Knows neither callers nor limits; the steady clock is its only surrounding.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "codec.h"

namespace corkmux::simulation {

using codec::Json;

/// Counts the transactions that changed something.
using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

struct KeyValueEntry {
  Json value;
  Revision revision = 0;         // that wrote it
  std::optional<LeaseId> lease;  // with which it ends
};

struct KeyValueChange {
  Revision revision = 0;
  std::string key;
  std::optional<Json> value;  // none: the key was removed
};

/// Its writes are executed together if every condition holds, else none of them.
struct KeyValueTransaction {
  struct Condition {
    std::string key;
    Revision revision = 0;  // 0: there is no such key
  };
  struct Write {
    std::string key;
    std::optional<Json> value;  // none: removes the key
    std::optional<LeaseId> lease;
  };
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

class KeyValueStore {
 public:
  using Entries = std::map<std::string, KeyValueEntry>;
  Revision revision() const { return revision_; }
  const Entries& entries() const { return entries_; }
  /// Null: no such key.
  const KeyValueEntry* find(const std::string& key) const;

  /// The keys of the conditions that do not hold.
  std::vector<std::string> failed_conditions(const KeyValueTransaction& transaction) const;
  /// Executes the writes, whatever the conditions say. Without writes there is no new revision.
  void apply(const KeyValueTransaction& transaction);
  void put(const std::string& key, const Json& value);
  /// A new revision, whether there is such a key or not.
  void erase(const std::string& key);

  LeaseId grant_lease(double lifetime_s);
  bool has_lease(LeaseId lease) const { return leases_.contains(lease); }
  /// It has its full time again. false: no such lease.
  bool renew_lease(LeaseId lease);
  void renew_all_leases();
  /// It ends with the next expire_leases(). false: no such lease.
  bool revoke_lease(LeaseId lease);
  /// Removes the leases that are over, and their keys.
  void expire_leases();

  /// Whether some change after that revision is no longer known.
  bool is_compacted(Revision after) const { return after + 1 < history_begin_; }
  /// Changes of keys under the prefix after that revision, in order.
  std::vector<KeyValueChange> changes_after(Revision after, const std::string& prefix) const;
  /// Forgets all changes so far.
  void compact() { history_begin_ = revision_ + 1; }

 private:
  struct Lease {
    double lifetime_s = 0;
    double expires_at = 0;  // s of the steady clock
  };
  void remove(const std::string& key);
  void record(const std::string& key, std::optional<Json> value);

  Revision revision_ = 0;
  Revision history_begin_ = 0;  // the first revision whose changes are all known
  LeaseId last_lease_ = 0;
  Entries entries_;
  std::map<LeaseId, Lease> leases_;
  std::deque<KeyValueChange> history_;
};

}  // namespace corkmux::simulation
