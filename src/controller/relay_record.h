// The records by which StoreRelay passes heartbeats and their answers through the state store. No other file
// refers to their fields.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "codec.h"
#include "leader_reply.h"

namespace corkmux {

/// How a heartbeat or an answer is encoded; former versions read only the full encoding.
enum class RelayEncoding { Full, Compact };

/// A request or an answer, encoded for a record.
class RelayItem {
 public:
  /// Encodes a heartbeat to the leader. No value: `heartbeat` is not MessagePack.
  static std::optional<RelayItem> request(std::uint64_t id, const std::string& heartbeat,
                                          RelayEncoding encoding);
  /// Encodes the answer to a request; `encoding` is that of the request.
  static RelayItem answer(std::uint64_t id, const LeaderReply& reply, RelayEncoding encoding);

  /// The id of a request; no value: it is an answer.
  std::optional<std::uint64_t> request_id() const { return request_id_; }
  /// Bytes that the item takes in a record, with a separator.
  std::size_t size() const { return size_; }

 private:
  friend codec::Json relay_record_to_json(const std::string& from, const std::vector<RelayItem>& items);
  RelayItem(std::optional<std::uint64_t> request_id, codec::Json encoded);

  std::optional<std::uint64_t> request_id_;
  codec::Json encoded_;
  std::size_t size_;
};

/// Encodes the items that the controller `from` writes in one record.
codec::Json relay_record_to_json(const std::string& from, const std::vector<RelayItem>& items);

struct RelayedRequest {
  std::uint64_t id = 0;
  RelayEncoding encoding = RelayEncoding::Full;
  std::string heartbeat;  // encoded for the wire
};

struct RelayedAnswer {
  std::uint64_t id = 0;  // of the request that it answers
  LeaderReply reply;
};

struct RelayRecord {
  std::string from;  // label of the controller that wrote it
  std::vector<std::variant<RelayedRequest, RelayedAnswer>> items;
};
/// Parses a stored record. No value: not a relay record. Malformed items are skipped.
std::optional<RelayRecord> parse_relay_record(const codec::Json& record);

}  // namespace corkmux
