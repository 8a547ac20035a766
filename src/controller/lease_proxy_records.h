// The records in the state store that name the workers whose leases one controller renews by proxy: as many
// as the names need, all written in one transaction on the condition that nobody else changed them. Owns
// their revisions; decides nothing about who is named.
#pragma once
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

class LeaseProxyRecords {
 public:
  using Names = std::set<std::string>;
  /// Whom the records name, which may be a former life of this controller's; no value: not readable.
  using ReadCallback = std::function<void(std::optional<Names>)>;
  using WriteCallback = std::function<void(StateStatus)>;
  LeaseProxyRecords(const Settings& settings, StateClient& state);
  /// Whether the records' revisions are known; else they have to be read before the next write.
  bool known() const { return revisions_.has_value(); }
  /// Whether no record is stored; only while known().
  bool empty() const { return revisions_->empty(); }
  void read(ReadCallback done);
  /// Makes the records name these and nobody else; only while known().
  void write(const Names& machines, WriteCallback done);
  /// Bytes of names that all records together may take.
  std::size_t capacity() const { return record_size_ * static_cast<std::size_t>(most_records_) * 9 / 10; }
  /// Bytes that a name takes in a record: with quotes and comma.
  static std::size_t bytes_of(const std::string& machine) { return machine.size() + 3; }

 private:
  using List = std::vector<std::string>;
  /// As many lists as their records need.
  std::vector<List> split(const Names& machines) const;
  void written(const std::vector<codec::Write>& writes, const StateReply& reply);
  StateClient& state_;
  std::string key_;
  std::size_t record_size_;   // bytes of names in one record
  int most_records_;          // that one transaction may write
  std::uint64_t writes_ = 0;  // of records, each told in its record so that every write changes it
  std::optional<std::map<std::string, std::uint64_t>> revisions_;  // by key
};

}  // namespace corkmux
