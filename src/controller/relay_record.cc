#include "relay_record.h"

namespace corkmux {
namespace {

using codec::Json;

std::optional<std::uint64_t> id_in(const Json& item, const char* field) {
  auto id = item.find(field);
  if (id == item.end() || !id->is_number_unsigned()) return std::nullopt;
  return id->get<std::uint64_t>();
}

std::optional<ReceivedRelayItem> item_from(const Json& item) {
  if (!item.is_object()) return std::nullopt;
  ReceivedRelayItem out;
  if (auto request = id_in(item, "q")) {
    out.kind = ReceivedRelayItem::Kind::Request;
    out.id = *request;
  } else if (auto answer = id_in(item, "a")) {
    out.kind = ReceivedRelayItem::Kind::Answer;
    out.id = *answer;
    out.status = item.value("s", 0);
  } else {
    return std::nullopt;
  }
  bool is_request = out.kind == ReceivedRelayItem::Kind::Request;
  Json body;
  if (auto compact = item.find("r"); compact != item.end()) {
    out.form = RelayForm::Compact;
    body = is_request ? codec::expand_heartbeat(*compact) : codec::expand_answer(*compact);
  } else {
    body = item.value("b", Json());
  }
  if (is_request || !body.is_null()) out.body = codec::pack(body);
  return out;
}

}  // namespace

std::optional<RelayItem> encode_relay_request(std::uint64_t id, const std::string& heartbeat,
                                              RelayForm form) {
  auto body = codec::unpack(heartbeat);
  if (!body) return std::nullopt;
  if (form == RelayForm::Compact) {
    Json compact = codec::compact_heartbeat(*body);
    if (!compact.is_null()) return RelayItem{id, Json{{"q", id}, {"r", std::move(compact)}}};
  }
  return RelayItem{id, Json{{"q", id}, {"b", std::move(*body)}}};
}

RelayItem encode_relay_answer(std::uint64_t id, const LeaderReply& reply, RelayForm form) {
  auto body = codec::unpack(reply.body());
  Json item = {{"a", id}, {"s", reply.wire_status()}};
  if (form == RelayForm::Compact && reply.is_answered() && body)
    item["r"] = codec::compact_answer(*body);
  else
    item["b"] = body ? std::move(*body) : Json();
  return {std::nullopt, std::move(item)};
}

Json encode_relay_record(const std::string& from, const std::vector<RelayItem>& items) {
  Json list = Json::array();
  for (const auto& item : items) list.push_back(item.encoded);
  return {{"f", from}, {"i", std::move(list)}};
}

std::optional<RelayRecord> parse_relay_record(const Json& record) {
  if (!record.is_object()) return std::nullopt;
  auto items = record.find("i");
  RelayRecord out;
  out.from = record.value("f", "");
  if (out.from.empty() || items == record.end() || !items->is_array()) return std::nullopt;
  for (const auto& entry : *items)
    if (auto item = item_from(entry)) out.items.push_back(std::move(*item));
  return out;
}

}  // namespace corkmux
