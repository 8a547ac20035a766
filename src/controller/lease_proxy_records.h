// Reads and writes the records in the state store that name the workers whose leases one controller renews by
// proxy: as many records as the names need, all written in one transaction on the condition that no other
// write changed them. Owns their revisions; does not decide which workers are named.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "settings.h"
#include "state_client.h"

namespace corkmux {
namespace constants {

/// bytes of names; all records are written in one transaction, for which the state store's limit is 64 KiB.
inline constexpr std::size_t kLeaseProxyNameBytes = 48 * 1024;

}  // namespace constants

class LeaseProxyRecords {
 public:
  using Names = std::set<std::string>;
  /// The workers that the records name, maybe by a former incarnation of this controller; no value: the read
  /// failed.
  using ReadCallback = std::function<void(std::optional<Names>)>;
  using WriteCallback = std::function<void(StateStatus)>;
  LeaseProxyRecords(const Settings& settings, StateClient& state);
  /// Whether the records' revisions are known; otherwise read() has to succeed before the next write.
  bool revisions_known() const { return revisions_.has_value(); }
  /// Whether no record is stored; call only while revisions_known().
  bool empty() const { return revisions_->empty(); }
  void read(ReadCallback done);
  /// Makes the records name exactly these workers; call only while revisions_known().
  void write(const Names& machines, WriteCallback done);
  /// Bytes of names that all records together may hold.
  std::size_t capacity() const {
    return std::min(constants::kLeaseProxyNameBytes,
                    record_size_ * static_cast<std::size_t>(max_records_) * 9 / 10);
  }
  /// Bytes of a name in a record, with its quotes and comma.
  static std::size_t bytes_of(const std::string& machine) { return machine.size() + 3; }

 private:
  using List = std::vector<std::string>;
  /// Divides the names into one list for each record.
  std::vector<List> split(const Names& machines) const;
  void written(const std::vector<codec::Write>& writes, const StateReply& reply);
  StateClient& state_;
  std::string key_;
  std::size_t record_size_;        // bytes of names in one record
  int max_records_;                // records that one transaction may write
  std::uint64_t write_count_ = 0;  // records written; each stores its number, so that every write changes it
  std::optional<std::map<std::string, std::uint64_t>> revisions_;  // by key; no value: unknown
};

}  // namespace corkmux
