#include "relay_record.h"

#include <algorithm>

#include "wire_fields.h"

namespace corkmux {
namespace {

using codec::Json;

constexpr std::size_t kSeparator = 1;  // bytes between items of a record
constexpr std::uint64_t kMaxHttpStatus = 599;

std::optional<std::uint64_t> id_in(const Json& item, const char* field) {
  auto id = item.find(field);
  if (id == item.end() || !id->is_number_unsigned()) return std::nullopt;
  return id->get<std::uint64_t>();
}

Json body_in(const Json& item) {
  const Json* body = codec::field(item, "b");
  return body ? *body : Json();
}

RelayedRequest request_from(std::uint64_t id, const Json& item) {
  auto compact = item.find("r");
  if (compact != item.end())
    return {id, RelayEncoding::Compact, codec::pack(codec::expand_heartbeat(*compact))};
  return {id, RelayEncoding::Full, codec::pack(body_in(item))};
}

RelayedAnswer answer_from(std::uint64_t id, const Json& item) {
  const auto status = std::min<std::uint64_t>(codec::integer(item, "s"), kMaxHttpStatus);
  auto compact = item.find("r");
  Json body = compact != item.end() ? codec::expand_commands(*compact) : body_in(item);
  return {id, LeaderReply::from_wire(static_cast<int>(status), body.is_null() ? "" : codec::pack(body))};
}

std::optional<std::variant<RelayedRequest, RelayedAnswer>> item_from(const Json& item) {
  if (!item.is_object()) return std::nullopt;
  if (auto request = id_in(item, "q")) return request_from(*request, item);
  if (auto answer = id_in(item, "a")) return answer_from(*answer, item);
  return std::nullopt;
}

}  // namespace

RelayItem::RelayItem(std::optional<std::uint64_t> request_id, Json encoded)
    : request_id_(request_id), encoded_(std::move(encoded)), size_(codec::json_size(encoded_) + kSeparator) {}

std::optional<RelayItem> RelayItem::request(std::uint64_t id, const std::string& heartbeat,
                                            RelayEncoding encoding) {
  auto body = codec::unpack(heartbeat);
  if (!body) return std::nullopt;
  if (encoding == RelayEncoding::Compact) {
    Json compact = codec::compact_heartbeat(*body);
    if (!compact.is_null()) return RelayItem{id, Json{{"q", id}, {"r", std::move(compact)}}};
  }
  return RelayItem{id, Json{{"q", id}, {"b", std::move(*body)}}};
}

RelayItem RelayItem::answer(std::uint64_t id, const LeaderReply& reply, RelayEncoding encoding) {
  auto body = codec::unpack(reply.body());
  Json item = {{"a", id}, {"s", reply.wire_status()}};
  if (encoding == RelayEncoding::Compact && reply.is_answered() && body)
    item["r"] = codec::compact_commands(*body);
  else
    item["b"] = body ? std::move(*body) : Json();
  return {std::nullopt, std::move(item)};
}

Json relay_record_to_json(const std::string& from, const std::vector<RelayItem>& items) {
  Json list = Json::array();
  for (const auto& item : items) list.push_back(item.encoded_);
  return {{"f", from}, {"i", std::move(list)}};
}

std::optional<RelayRecord> parse_relay_record(const Json& record) {
  if (!record.is_object()) return std::nullopt;
  auto items = record.find("i");
  RelayRecord out;
  out.from = codec::text(record, "f");
  if (out.from.empty() || items == record.end() || !items->is_array()) return std::nullopt;
  for (const auto& entry : *items)
    if (auto item = item_from(entry)) out.items.push_back(std::move(*item));
  return out;
}

}  // namespace corkmux
