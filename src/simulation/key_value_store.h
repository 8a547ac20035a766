// In-memory key-value store behind the simulated state store: keys with revisions, conditional transactions,
// leases and a bounded history of changes. Independent of callers and limits; its only external dependency is
// the steady clock.
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

/// The number of transactions so far that changed something.
using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

struct KeyValueEntry {
  Json value;
  Revision revision = 0;         // of the transaction that wrote the value
  std::optional<LeaseId> lease;  // the key is removed when this lease ends; empty: no lease
};

struct KeyValueChange {
  Revision revision = 0;
  std::string key;
  std::optional<Json> value;  // empty: the key was removed
};

/// A conditional transaction: if every condition holds, all writes are executed atomically, else none.
struct KeyValueTransaction {
  struct Condition {
    std::string key;
    Revision revision = 0;  // the key's expected revision; 0: the key does not exist
  };
  struct Write {
    std::string key;
    std::optional<Json> value;  // empty: removes the key
    std::optional<LeaseId> lease;
  };
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// The entries, leases and recent changes.
class KeyValueStore {
 public:
  using Entries = std::map<std::string, KeyValueEntry>;
  Revision revision() const { return revision_; }
  const Entries& entries() const { return entries_; }
  /// Null if the key does not exist.
  const KeyValueEntry* find(const std::string& key) const;

  /// Keys whose conditions do not hold.
  std::vector<std::string> failed_conditions(const KeyValueTransaction& transaction) const;
  /// Executes the writes without checking the conditions. A transaction without writes makes no new revision.
  void apply(const KeyValueTransaction& transaction);
  void put(const std::string& key, const Json& value);
  /// Removes the key; makes a new revision even if the key does not exist.
  void erase(const std::string& key);

  LeaseId grant_lease(double lifetime_s);
  bool has_lease(LeaseId lease) const { return leases_.contains(lease); }
  /// Extends the lease to its full lifetime from now; false if there is no such lease.
  bool renew_lease(LeaseId lease);
  void renew_all_leases();
  /// Marks the lease as expired; the next expire_leases() removes it. False if there is no such lease.
  bool revoke_lease(LeaseId lease);
  /// Removes expired leases and the keys attached to them.
  void expire_leases();

  /// Whether a change after that revision is no longer in the history.
  bool is_compacted(Revision after) const { return after + 1 < history_begin_; }
  /// Changes after that revision to keys that begin with the prefix, in order.
  std::vector<KeyValueChange> changes_after(Revision after, const std::string& prefix) const;
  /// Discards the history of all changes so far.
  void compact() { history_begin_ = revision_ + 1; }

 private:
  struct Lease {
    double lifetime_s = 0;
    double expires_at = 0;  // s of the steady clock
  };
  void remove(const std::string& key);
  void record(const std::string& key, std::optional<Json> value);

  Revision revision_ = 0;
  Revision history_begin_ = 0;  // the first revision from which the history is complete
  LeaseId last_lease_ = 0;
  Entries entries_;
  std::map<LeaseId, Lease> leases_;
  std::deque<KeyValueChange> history_;
};

}  // namespace corkmux::simulation
