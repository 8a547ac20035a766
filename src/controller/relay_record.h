// The records by which StoreRelay passes heartbeats and their answers through the state store. The only file
// that knows their fields.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "codec.h"
#include "leader_reply.h"

namespace corkmux {

/// The short form of a heartbeat or answer, which a former version does not read.
enum class RelayForm { Full, Compact };

/// A request or an answer as it stands in a record.
struct RelayItem {
  std::optional<std::uint64_t> request;  // id, where it is a request
  codec::Json encoded;
};

/// No value: the heartbeat is not MessagePack.
std::optional<RelayItem> encode_relay_request(std::uint64_t id, const std::string& heartbeat, RelayForm form);
RelayItem encode_relay_answer(std::uint64_t id, const LeaderReply& reply, RelayForm form);
codec::Json encode_relay_record(const std::string& from, const std::vector<RelayItem>& items);

struct ReceivedRelayItem {
  enum class Kind { Request, Answer };
  Kind kind = Kind::Request;
  std::uint64_t id = 0;
  RelayForm form = RelayForm::Full;  // a request is answered in the form that it came in
  int status = 0;                    // of an answer
  std::string body;                  // a heartbeat, or what the leader said to it, in its wire form
};

struct RelayRecord {
  std::string from;  // label of the controller that wrote it
  std::vector<ReceivedRelayItem> items;
};
/// No value: not such a record. Items that cannot be read are passed over.
std::optional<RelayRecord> parse_relay_record(const codec::Json& record);

}  // namespace corkmux
