#include "key_value_store.h"

#include <algorithm>

#include "event_loop.h"
#include "simulation_constants.h"
#include "time_constants.h"

namespace corkmux::simulation {

const KeyValueEntry* KeyValueStore::find(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<std::string> KeyValueStore::failed_conditions(const KeyValueTransaction& transaction) const {
  std::vector<std::string> failed;
  for (const auto& condition : transaction.conditions) {
    const KeyValueEntry* entry = find(condition.key);
    const Revision revision = entry ? entry->revision : 0;
    if (revision != condition.revision) failed.push_back(condition.key);
  }
  return failed;
}

void KeyValueStore::apply(const KeyValueTransaction& transaction) {
  if (transaction.writes.empty()) return;
  ++revision_;
  for (const auto& write : transaction.writes) {
    if (!write.value) {
      remove(write.key);
      continue;
    }
    entries_[write.key] = {*write.value, revision_, write.lease};
    record(write.key, write.value);
  }
}

void KeyValueStore::put(const std::string& key, const Json& value) {
  ++revision_;
  entries_[key] = {value, revision_, std::nullopt};
  record(key, value);
}

void KeyValueStore::erase(const std::string& key) {
  ++revision_;
  remove(key);
}

void KeyValueStore::remove(const std::string& key) {
  if (entries_.erase(key) > 0) record(key, std::nullopt);
}

void KeyValueStore::record(const std::string& key, std::optional<Json> value) {
  history_.push_back({revision_, key, std::move(value)});
  if (history_.size() <= kMaxRetainedChanges) return;
  history_begin_ = std::max(history_begin_, history_.front().revision + 1);
  history_.pop_front();
}

std::vector<KeyValueChange> KeyValueStore::changes_after(Revision after, const std::string& prefix) const {
  std::vector<KeyValueChange> changes;
  auto change = std::upper_bound(
      history_.begin(), history_.end(), after,
      [](Revision revision, const KeyValueChange& candidate) { return revision < candidate.revision; });
  for (; change != history_.end(); ++change)
    if (change->key.starts_with(prefix)) changes.push_back(*change);
  return changes;
}

LeaseId KeyValueStore::grant_lease(double lifetime_s) {
  ++last_lease_;
  leases_[last_lease_] = {lifetime_s, steady_now() + lifetime_s};
  return last_lease_;
}

bool KeyValueStore::renew_lease(LeaseId lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.expires_at = steady_now() + found->second.lifetime_s;
  return true;
}

void KeyValueStore::renew_all_leases() {
  const double now = steady_now();
  for (auto& [id, lease] : leases_) lease.expires_at = std::max(lease.expires_at, now + lease.lifetime_s);
}

bool KeyValueStore::revoke_lease(LeaseId lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.expires_at = kLongAgo;
  return true;
}

void KeyValueStore::expire_leases() {
  const double now = steady_now();
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires_at > now) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.lease == lease->first) keys.push_back(key);
    if (!keys.empty()) ++revision_;
    for (const auto& key : keys) remove(key);
    lease = leases_.erase(lease);
  }
}

}  // namespace corkmux::simulation
