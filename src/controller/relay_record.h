// The records by which StoreRelay passes heartbeats and their answers through the state store. The only file
// that knows their fields.
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

/// The short form of a heartbeat or answer, which a former version does not read.
enum class RelayForm { Full, Compact };

/// A request or an answer, encoded for a record.
class RelayItem {
 public:
  /// A heartbeat to the leader. No value: it is not MessagePack.
  static std::optional<RelayItem> request(std::uint64_t id, const std::string& heartbeat, RelayForm form);
  /// The answer to a request, in the form that the request came in.
  static RelayItem answer(std::uint64_t id, const LeaderReply& reply, RelayForm form);

  /// The id of a request; no value: it is an answer.
  std::optional<std::uint64_t> request_id() const { return request_id_; }
  /// Bytes that it takes in a record.
  std::size_t size() const { return size_; }

 private:
  friend codec::Json relay_record_to_json(const std::string& from, const std::vector<RelayItem>& items);
  RelayItem(std::optional<std::uint64_t> request_id, codec::Json encoded);

  std::optional<std::uint64_t> request_id_;
  codec::Json encoded_;
  std::size_t size_;
};

/// The stored form of the items that the controller `from` writes together.
codec::Json relay_record_to_json(const std::string& from, const std::vector<RelayItem>& items);

struct RelayedRequest {
  std::uint64_t id = 0;
  RelayForm form = RelayForm::Full;
  std::string heartbeat;  // in its wire form
};

struct RelayedAnswer {
  std::uint64_t id = 0;  // of the request
  LeaderReply reply;
};

struct RelayRecord {
  std::string from;  // label of the controller that wrote it
  std::vector<std::variant<RelayedRequest, RelayedAnswer>> items;
};
/// No value: not such a record. Items that cannot be read are passed over.
std::optional<RelayRecord> parse_relay_record(const codec::Json& record);

}  // namespace corkmux
