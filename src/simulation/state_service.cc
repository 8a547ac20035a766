#include "state_service.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace corkmux::simulation {
namespace {

constexpr double kLeaseCheckInterval = 0.05;  // s
constexpr double kMillisecondsPerSecond = 1000;

// Paths of the endpoints in the protocol.
constexpr std::string_view kKeyPath = "/kv/";
constexpr std::string_view kListPath = "/kv?";
constexpr std::string_view kTransactionPath = "/multi";
constexpr std::string_view kLeasesPath = "/grants";
constexpr std::string_view kLeasePath = "/grants/";
constexpr std::string_view kWatchPath = "/watch";

KeyValueTransaction parse_transaction(const Json& body) {
  KeyValueTransaction transaction;
  for (const auto& condition : body["if"])
    transaction.conditions.push_back({condition["k"].get<std::string>(), condition["stamp"].get<Revision>()});
  for (const auto& write : body["writes"]) {
    if (write.contains("remove")) {
      transaction.writes.push_back({write["remove"].get<std::string>(), std::nullopt, std::nullopt});
      continue;
    }
    const auto lease = write.value("tenure", LeaseId{0});
    transaction.writes.push_back(
        {write["write"].get<std::string>(), write["value"], lease ? std::optional(lease) : std::nullopt});
  }
  return transaction;
}

Json change_to_wire(const KeyValueChange& change) {
  if (!change.value) return {{"remove", change.key}, {"stamp", change.revision}};
  return {{"write", change.key}, {"value", *change.value}, {"stamp", change.revision}};
}

Json entry_to_wire(const std::string& key, const KeyValueEntry& entry) {
  return {{"k", key}, {"value", entry.value}, {"stamp", entry.revision}};
}

}  // namespace

StateService::StateService(Loop& loop, const std::string& address) : loop_(loop), lease_timer_(loop) {
  add_listener(address);
  lease_timer_.every(kLeaseCheckInterval, [this] { expire_leases(); });
}

std::size_t StateService::add_listener(const std::string& address) {
  const std::size_t number = listeners_.size();
  auto handler = [this, number](http::Server::ConnectionId connection, const http::Request& request) {
    serve({number, connection}, request);
  };
  listeners_.push_back(std::make_unique<Listener>(loop_, address, std::move(handler)));
  return number;
}

// ---------------------------------------------------------------- direct reads and writes of tests

std::vector<int> StateService::release_held() {
  faults.held_prefix.clear();
  std::vector<int> statuses;
  for (const auto& transaction : std::exchange(held_transactions_, {})) {
    const bool succeeds = store_.failed_conditions(transaction).empty();
    statuses.push_back(succeeds ? 200 : 409);
    if (succeeds) apply(transaction);
  }
  return statuses;
}

void StateService::erase(const std::string& key) {
  store_.erase(key);
  answer_due_watches();
}

void StateService::put(const std::string& key, const Json& value) {
  store_.put(key, value);
  answer_due_watches();
}

std::map<std::string, Json> StateService::values() const {
  std::map<std::string, Json> values;
  for (const auto& [key, entry] : store_.entries()) values[key] = entry.value;
  return values;
}

Json StateService::value(const std::string& key) const {
  const KeyValueEntry* entry = store_.find(key);
  return entry ? entry->value : Json::object();
}

// ---------------------------------------------------------------- endpoints

void StateService::serve(Caller caller, const http::Request& request) {
  expire_leases();
  ++counters_.requests;
  if (faults.unresponsive) return;
  if (!is_reachable(caller.listener)) return answer(caller, {503, {{"error", "down"}}});
  if (!request_rate.take(1)) {
    ++counters_.rate_limited;
    return answer(caller, {429, {{"error", "too many requests"}}});
  }
  if (auto reply = handle(caller, request)) answer(caller, *reply);
}

std::optional<ServiceReply> StateService::handle(Caller caller, const http::Request& request) {
  const std::string& target = request.target;
  if (target.starts_with(kKeyPath)) return get(target.substr(kKeyPath.size()));
  if (target.starts_with(kListPath)) return list(target);
  const Json body = request.body.empty() ? Json() : codec::unpack(request.body).value_or(Json());
  if (target == kTransactionPath) return transact(parse_transaction(body));
  if (target == kLeasesPath) return grant_lease(body);
  if (target.starts_with(kLeasePath))
    return keep_or_revoke_lease(std::stoull(target.substr(kLeasePath.size())), request.method);
  if (target.starts_with(kWatchPath)) {
    watch(caller, target);
    return std::nullopt;
  }
  return ServiceReply{400, {{"error", "what?"}}};
}

ServiceReply StateService::get(const std::string& key) const {
  const KeyValueEntry* entry = store_.find(key);
  if (!entry) return {404, {{"epoch", store_.revision()}}};
  return {200, entry_to_wire(key, *entry)};
}

ServiceReply StateService::list(const std::string& target) {
  ++counters_.pages;
  const auto prefix = query_field(target, "under");
  const auto after = query_field(target, "after");
  const std::size_t wanted = std::stoul(query_field(target, "most"));
  const std::size_t max_items = std::min({limits.page_items, kMaxPageItems, wanted});
  Json pairs = Json::array();
  bool truncated = false;
  const auto& entries = store_.entries();
  const bool from_start = after.empty() || after < prefix;
  auto entry = from_start ? entries.lower_bound(prefix) : entries.upper_bound(after);
  for (; entry != entries.end() && entry->first.starts_with(prefix); ++entry) {
    if (pairs.size() >= max_items) {
      truncated = true;
      break;
    }
    pairs.push_back(entry_to_wire(entry->first, entry->second));
  }
  return {200, {{"pairs", pairs}, {"truncated", truncated}, {"epoch", store_.revision()}}};
}

std::optional<ServiceReply> StateService::transact(const KeyValueTransaction& transaction) {
  if (auto refusal = refuse(transaction)) return refusal;
  if (is_held(transaction)) {
    held_transactions_.push_back(transaction);
    return std::nullopt;
  }
  const auto failed = store_.failed_conditions(transaction);
  if (!failed.empty()) return ServiceReply{409, {{"failed", failed}, {"epoch", store_.revision()}}};
  apply(transaction);
  if (std::exchange(faults.drop_next_transaction_answer, false)) return std::nullopt;
  return ServiceReply{200, {{"epoch", store_.revision()}}};
}

/// Returns an error reply if the transaction exceeds a limit or names a lease that does not exist.
std::optional<ServiceReply> StateService::refuse(const KeyValueTransaction& transaction) {
  if (!change_rate.take(static_cast<double>(transaction.writes.size()))) {
    ++counters_.rate_limited;
    return ServiceReply{429, {{"error", "too many changes"}}};
  }
  if (is_oversized(transaction)) {
    ++counters_.oversized_transactions;
    return ServiceReply{400, {{"error", "too large"}}};
  }
  const bool names_unknown_lease =
      std::any_of(transaction.writes.begin(), transaction.writes.end(),
                  [this](const auto& write) { return write.lease && !store_.has_lease(*write.lease); });
  if (names_unknown_lease) return ServiceReply{400, {{"error", "no such lease"}}};
  return std::nullopt;
}

bool StateService::is_oversized(const KeyValueTransaction& transaction) const {
  if (transaction.writes.size() > limits.transaction_writes) return true;
  if (transaction.conditions.size() > 4 * limits.transaction_writes) return true;
  return std::any_of(transaction.writes.begin(), transaction.writes.end(), [this](const auto& write) {
    return write.value && write.value->dump().size() > limits.value_bytes;
  });
}

bool StateService::is_held(const KeyValueTransaction& transaction) const {
  if (faults.held_prefix.empty()) return false;
  return std::any_of(transaction.writes.begin(), transaction.writes.end(), [this](const auto& write) {
    return write.value && write.key.starts_with(faults.held_prefix);
  });
}

ServiceReply StateService::grant_lease(const Json& body) {
  const double lifetime_s = body["lifeMs"].get<double>() / kMillisecondsPerSecond;
  return {200, {{"tenure", store_.grant_lease(lifetime_s)}}};
}

ServiceReply StateService::keep_or_revoke_lease(LeaseId lease, const std::string& method) {
  ServiceReply unknown{404, {{"epoch", store_.revision()}}};
  if (method == "DELETE") {
    if (!store_.revoke_lease(lease)) return unknown;
    expire_leases();
    return {200, {{"epoch", store_.revision()}}};
  }
  if (!store_.renew_lease(lease)) return unknown;
  return {200, {{"tenure", lease}}};
}

void StateService::watch(Caller caller, const std::string& target) {
  const double wait_s = std::stod(query_field(target, "waitMs")) / kMillisecondsPerSecond;
  watches_.add({caller, query_field(target, "under"), std::stoull(query_field(target, "after")),
                steady_now() + wait_s});
  answer_due_watches();
}

// ---------------------------------------------------------------- changes and answers

void StateService::apply(const KeyValueTransaction& transaction) {
  if (transaction.writes.empty()) return;
  for (const auto& write : transaction.writes)
    ++counters_.changes_by_kind[write.key.substr(0, write.key.find('/'))];
  store_.apply(transaction);
  answer_due_watches();
}

void StateService::expire_leases() {
  if (faults.unavailable) store_.renew_all_leases();
  store_.expire_leases();
  answer_due_watches();
}

void StateService::answer_due_watches() {
  const auto due = watches_.take_due(store_, listeners_.size(),
                                     [this](std::size_t listener) { return is_reachable(listener); });
  if (faults.withhold_watch_answers) return;
  for (const auto& answered : due) {
    if (answered.compacted) {
      answer(answered.caller, {410, {{"epoch", store_.revision()}}});
      continue;
    }
    Json log = Json::array();
    for (const auto& change : answered.changes) log.push_back(change_to_wire(change));
    answer(answered.caller, {200, {{"epoch", store_.revision()}, {"log", log}}});
  }
}

bool StateService::is_reachable(std::size_t listener) const {
  return !faults.unavailable && !listeners_[listener]->unavailable;
}

void StateService::answer(Caller caller, const ServiceReply& reply) {
  http::Server& server = listeners_[caller.listener]->server;
  http::Response response{reply.status, codec::pack(reply.body), 0, false};
  if (!latency || !loop_.runtime()) return server.respond(caller.connection, response);
  loop_.runtime()->start(latency(),
                         [&server, connection = caller.connection, response = std::move(response)] {
                           server.respond(connection, response);
                         });
}

}  // namespace corkmux::simulation
