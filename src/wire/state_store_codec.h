// Requests to the state store and its responses: reads, pages, watches, transactions, leases.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "msgpack.h"

namespace corkmux::codec {

struct KeyValue {
  std::string key;
  Json value;
  std::uint64_t revision = 0;  // of its last modification
};
/// Holds if the key has this revision; 0: if the key does not exist.
struct Condition {
  std::string key;
  std::uint64_t revision = 0;
};
struct Write {
  std::string key;
  std::optional<Json> value;  // absent: remove the key
  std::uint64_t lease = 0;    // the key is removed when this lease ends; 0: none
};
struct Page {
  std::vector<KeyValue> items;
  bool more = false;
  std::uint64_t revision = 0;  // of the store
};
struct Event {
  std::string key;
  std::optional<Json> value;  // absent: the key was removed
  std::uint64_t revision = 0;
};
struct Events {
  std::vector<Event> events;
  std::uint64_t revision = 0;  // of the store
};

inline constexpr const char* kTxnPath = "/multi";
inline constexpr const char* kLeasePath = "/grants";
std::string key_path(const std::string& key);
std::string prefix_path(const std::string& prefix, const std::string& after, int limit);
std::string watch_path(const std::string& prefix, std::uint64_t after, double wait_s);
std::string lease_path(std::uint64_t lease);
std::string renew_path(std::uint64_t lease);

Json txn_to_wire(const std::vector<Condition>& conditions, const std::vector<Write>& writes);
Json lease_request(double duration_s);
std::uint64_t parse_lease(const Json& body);
/// The store's revision at the time of the response.
std::uint64_t parse_revision(const Json& body);
std::optional<KeyValue> parse_value(const Json& body);
Page parse_page(const Json& body);
Events parse_events(const Json& body);
/// The keys whose conditions did not hold.
std::vector<std::string> parse_failed(const Json& body);

}  // namespace corkmux::codec
