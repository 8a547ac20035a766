// Stand-in for the platform's state store as the protocol defines it: the HTTP endpoints over a
// KeyValueStore, with limits, rate limits, and faults that a test switches on. Runs on any Loop; stores
// nothing on disk.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http.h"
#include "key_value_store.h"
#include "rate_limiter.h"
#include "service_http.h"
#include "simulation_constants.h"
#include "watch_hub.h"

namespace corkmux::simulation {

/// Size limits; a test or a fault may lower them at any moment.
struct StateServiceLimits {
  std::size_t value_bytes = 1 << 20;
  std::size_t transaction_writes = 1000;
  std::size_t page_items = 1000;  // the most that a page holds, even if more are requested
};

/// Counters since the start of the service.
struct StateServiceCounters {
  std::uint64_t requests = 0;
  int rate_limited = 0;            // requests answered 429
  int oversized_transactions = 0;  // refused because they exceed a size limit
  int pages = 0;
  /// Executed puts and removals, by the part of the key before its first slash.
  std::map<std::string, std::uint64_t> changes_by_kind;
};

/// Faults that a test or a simulation switches on and off at any moment.
struct StateServiceFaults {
  /// Every request is answered 503. At the end of the fault every lease has its full lifetime again.
  bool unavailable = false;
  /// No request is executed or answered.
  bool unresponsive = false;
  /// Watches are never answered, even if keys change.
  bool withhold_watch_answers = false;
  /// The next transaction is executed but not answered.
  bool drop_next_transaction_answer = false;
  /// Transactions that put a key with this prefix are held: neither executed nor answered until
  /// release_held(). Empty: none are held.
  std::string held_prefix;
};

/// Serves the state store's endpoints at one or more addresses.
class StateService {
 public:
  /// Starts to listen at `address`; throws std::runtime_error if the address cannot be bound.
  explicit StateService(Loop& loop, const std::string& address = "127.0.0.1:0");
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  int port() const { return listener_port(0); }

  /// Adds another address of the same service, so that faults can affect a single caller. Returns the
  /// listener's number.
  std::size_t add_listener(const std::string& address);
  int listener_port(std::size_t listener) const { return listeners_[listener]->server.port(); }
  /// While unavailable, requests through this listener are answered 503, so leases renewed only through it
  /// expire, and its open watches are not answered.
  void set_listener_unavailable(std::size_t listener, bool unavailable) {
    listeners_[listener]->unavailable = unavailable;
  }

  StateServiceFaults faults;
  StateServiceLimits limits;
  RateLimiter request_rate;
  RateLimiter change_rate;
  /// Seconds until an answer is sent; used only on a loop with a Runtime. Null: answers are sent immediately.
  std::function<double()> latency;
  const StateServiceCounters& counters() const { return counters_; }

  /// Discards the history of all changes so far: watches that start before it are answered 410.
  void forget_history() { store_.compact(); }
  /// Executes the transactions held through faults.held_prefix and clears that fault. Returns the HTTP
  /// statuses of the transactions, in order; the callers get no answer.
  std::vector<int> release_held();
  bool holds_transactions() const { return !held_transactions_.empty(); }

  // Direct, unconditional reads and writes for tests.
  void erase(const std::string& key);
  void put(const std::string& key, const Json& value);
  std::map<std::string, Json> values() const;
  /// The key's value; an empty object if the key does not exist.
  Json value(const std::string& key) const;
  std::size_t size() const { return store_.entries().size(); }

 private:
  struct Listener {
    Listener(Loop& loop, const std::string& address, http::Server::Handler handler)
        : server(loop, address, kMaxStateConnections, std::move(handler)) {}
    http::Server server;
    bool unavailable = false;
  };
  void serve(Caller caller, const http::Request& request);
  /// Empty if the request is answered later or never.
  std::optional<ServiceReply> handle(Caller caller, const http::Request& request);
  ServiceReply get(const std::string& key) const;
  ServiceReply list(const std::string& target);
  std::optional<ServiceReply> transact(const KeyValueTransaction& transaction);
  std::optional<ServiceReply> refuse(const KeyValueTransaction& transaction);
  bool is_oversized(const KeyValueTransaction& transaction) const;
  bool is_held(const KeyValueTransaction& transaction) const;
  ServiceReply grant_lease(const Json& body);
  ServiceReply keep_or_revoke_lease(LeaseId lease, const std::string& method);
  void watch(Caller caller, const std::string& target);
  void apply(const KeyValueTransaction& transaction);
  void expire_leases();
  void answer_due_watches();
  bool is_reachable(std::size_t listener) const;
  void answer(Caller caller, const ServiceReply& reply);

  Loop& loop_;
  KeyValueStore store_;
  WatchHub watches_;
  StateServiceCounters counters_;
  std::vector<KeyValueTransaction> held_transactions_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  Timer lease_timer_;
};

}  // namespace corkmux::simulation
