// The only place that knows PROTOCOL's wire names. Everything else speaks the field's terms.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "model.h"

namespace corkmux::codec {

using Json = nlohmann::json;

std::string pack(const Json& value);
/// nullopt when the bytes are not one MessagePack value.
std::optional<Json> unpack(std::string_view bytes);

// --- users ---
struct ParsedJob {
  std::optional<JobSpec> job;
  std::string error;  // names the field
};
ParsedJob parse_job(const Json& body);
Json job_to_wire(const JobSpec& job);
struct JobView {
  std::string id, phase;
  int done = 0, running = 0;
  std::string reason;  // why it waits or failed; an extra field, may be empty
};
Json view_to_wire(const JobView& view, bool with_counts);
Json error_to_wire(std::string_view text);
bool valid_job_id(std::string_view id);

enum class Route { None, Submit, Query, Cancel, Ready, Heartbeat, WrongMethod };
struct Routed {
  Route route = Route::None;
  std::string job;
};
Routed route(std::string_view method, std::string_view path);

// --- workers ---
std::optional<Heartbeat> parse_heartbeat(const Json& body);
Json commands_to_wire(std::uint64_t fencing_token, const std::vector<TaskCommand>& commands,
                      std::optional<std::uint64_t> worker_epoch);
Json redirect_to_wire(std::string_view label);
/// The same bodies in few bytes, for mail between controllers that read the second form. Null: not such a
/// body.
Json compact_heartbeat(const Json& body);
Json expand_heartbeat(const Json& brief);
Json compact_answer(const Json& body);
Json expand_answer(const Json& brief);
inline constexpr const char* kCommandsPath = "/orders";

// --- cloud ---
inline constexpr const char* kCatalogPath = "/catalog";
inline constexpr const char* kRentPath = "/hosts";
inline constexpr const char* kDeletePath = "/hosts/delete";
std::vector<MachineType> parse_catalog(const Json& body);
Json catalog_to_wire(const std::vector<MachineType>& types);
Json rent_request(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                  int count);
std::vector<std::string> parse_rented(const Json& body);
bool is_no_capacity(const Json& body);
Json delete_request(const std::vector<std::string>& names);
std::string list_path(const std::string& after, int most);
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};
MachineList parse_machines(const Json& body);

// --- state service ---
struct KeyValue {
  std::string key;
  Json value;
  std::uint64_t revision = 0;
};
struct Condition {
  std::string key;
  std::uint64_t revision = 0;
};
struct Write {
  std::string key;
  std::optional<Json> value;  // absent: remove the key
  std::uint64_t lease = 0;
};
inline constexpr const char* kTxnPath = "/multi";
inline constexpr const char* kLeasePath = "/grants";
std::string key_path(const std::string& key);
std::string prefix_path(const std::string& prefix, const std::string& after, int most);
std::string watch_path(const std::string& prefix, std::uint64_t after, double wait_s);
std::string lease_path(std::uint64_t lease);
std::string renew_path(std::uint64_t lease);
Json txn_to_wire(const std::vector<Condition>& conditions, const std::vector<Write>& writes);
Json lease_request(double life_s);
std::uint64_t parse_lease(const Json& body);
std::uint64_t parse_revision(const Json& body);
std::optional<KeyValue> parse_value(const Json& body);
struct Page {
  std::vector<KeyValue> items;
  bool more = false;
  std::uint64_t revision = 0;
};
Page parse_page(const Json& body);
struct Event {
  std::string key;
  std::optional<Json> value;
  std::uint64_t revision = 0;
};
struct Events {
  std::vector<Event> events;
  std::uint64_t revision = 0;
};
Events parse_events(const Json& body);
std::vector<std::string> parse_failed(const Json& body);

}  // namespace corkmux::codec
