#include "state_store_codec.h"

#include <utility>

#include "wire_fields.h"
#include "wire_names.h"

namespace corkmux::codec {
namespace {

using namespace names;

constexpr double kMillisecondsPerSecond = 1000;

/// Returns null if the body has no value.
Json value_of(const Json& body) {
  const Json* value = field(body, kValue);
  return value ? *value : Json();
}

Event parse_event(const Json& body) {
  if (field(body, kRemove)) return {text(body, kRemove), std::nullopt, integer(body, kRevision)};
  return {text(body, kWrite), value_of(body), integer(body, kRevision)};
}

Json write_to_wire(const Write& write) {
  if (!write.value) return {{kRemove, write.key}};
  Json out = {{kWrite, write.key}, {kValue, *write.value}};
  if (write.lease) out[kLeaseId] = write.lease;
  return out;
}

}  // namespace

std::string key_path(const std::string& key) { return "/kv/" + key; }

std::string prefix_path(const std::string& prefix, const std::string& after, int limit) {
  return "/kv?under=" + prefix + (after.empty() ? "" : "&after=" + after) + "&most=" + std::to_string(limit);
}

std::string watch_path(const std::string& prefix, std::uint64_t after, double wait_s) {
  return "/watch?under=" + prefix + "&after=" + std::to_string(after) +
         "&waitMs=" + std::to_string(static_cast<long>(wait_s * kMillisecondsPerSecond));
}

std::string lease_path(std::uint64_t lease) { return "/grants/" + std::to_string(lease); }

std::string renew_path(std::uint64_t lease) { return lease_path(lease) + "/renew"; }

Json txn_to_wire(const std::vector<Condition>& conditions, const std::vector<Write>& writes) {
  Json condition_list = Json::array();
  for (const auto& condition : conditions)
    condition_list.push_back({{kKey, condition.key}, {kRevision, condition.revision}});
  Json write_list = Json::array();
  for (const auto& write : writes) write_list.push_back(write_to_wire(write));
  return {{kConditions, std::move(condition_list)}, {kWrites, std::move(write_list)}};
}

Json lease_request(double duration_s) {
  return {{kLeaseDuration, static_cast<std::uint64_t>(duration_s * kMillisecondsPerSecond)}};
}

std::uint64_t parse_lease(const Json& body) { return integer(body, kLeaseId); }

std::uint64_t parse_revision(const Json& body) { return integer(body, kStoreRevision); }

std::optional<KeyValue> parse_value(const Json& body) {
  const Json* value = field(body, kValue);
  if (!value) return std::nullopt;
  return KeyValue{text(body, kKey), *value, integer(body, kRevision)};
}

Page parse_page(const Json& body) {
  Page page;
  page.more = flag(body, kTruncated);
  page.revision = parse_revision(body);
  const Json* pairs = list_field(body, kPairs);
  if (!pairs) return page;
  for (const auto& pair : *pairs)
    page.items.push_back({text(pair, kKey), value_of(pair), integer(pair, kRevision)});
  return page;
}

Events parse_events(const Json& body) {
  Events out;
  out.revision = parse_revision(body);
  const Json* log = list_field(body, kEvents);
  if (!log) return out;
  for (const auto& event : *log) out.events.push_back(parse_event(event));
  return out;
}

std::vector<std::string> parse_failed(const Json& body) { return texts(body, kFailedKeys); }

}  // namespace corkmux::codec
