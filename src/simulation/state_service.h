// Stand-in for the platform's state service of PROTOCOL: its HTTP endpoints over a KeyValueStore, with the
// service's limits and rates, and faults that a test switches on. Runs on any Loop; nothing is stored on
// disk.
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

/// Limits of the service; they may fall at any moment.
struct StateServiceLimits {
  std::size_t value_bytes = 1 << 20;
  std::size_t transaction_writes = 1000;
  std::size_t page_items = 1000;  // that a page holds, whatever is asked for
};

/// What the service has counted since its start.
struct StateServiceCounters {
  std::uint64_t requests = 0;
  int rate_limited = 0;            // requests answered 429
  int oversized_transactions = 0;  // refused for a limit
  int pages = 0;
  /// Puts and removals that were executed, by the part of the key before its first slash.
  std::map<std::string, std::uint64_t> changes_by_kind;
};

/// Faults that a test or a simulation switches on and off at any moment.
struct StateServiceFaults {
  /// Everybody gets 503. When it ends, every lease has its full time again.
  bool unavailable = false;
  /// Neither executes nor answers anything.
  bool unresponsive = false;
  /// Watches get no answer, whatever changes.
  bool withhold_watch_answers = false;
  /// Executes the next transaction but never answers it.
  bool drop_next_transaction_answer = false;
  /// Transactions that write under this prefix are neither executed nor answered until release_held().
  std::string held_prefix;
};

class StateService {
 public:
  /// Listens at once, at `address`; throws std::runtime_error when the address cannot be had.
  explicit StateService(Loop& loop, const std::string& address = "127.0.0.1:0");
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  int port() const { return listener_port(0); }

  /// A second address of the same service, so that one caller can be treated unlike the others. Returns its
  /// number.
  std::size_t add_listener(const std::string& address);
  int listener_port(std::size_t listener) const { return listeners_[listener]->server.port(); }
  /// Whoever comes through it gets 503; its leases expire and its open watches wait.
  void set_listener_unavailable(std::size_t listener, bool unavailable) {
    listeners_[listener]->unavailable = unavailable;
  }

  StateServiceFaults faults;
  StateServiceLimits limits;
  RateLimiter request_rate;
  RateLimiter change_rate;
  /// s until an answer leaves; only on a driven loop. Null: at once.
  std::function<double()> latency;
  const StateServiceCounters& counters() const { return counters_; }

  /// The service forgets all changes so far: watches from before get 410.
  void forget_history() { store_.compact(); }
  /// Executes what faults.held_prefix held back, late, and holds nothing any more. Returns the HTTP statuses
  /// that the transactions come to, in order; nobody is answered.
  std::vector<int> release_held();
  bool holds_transactions() const { return !held_transactions_.empty(); }

  // Reads and writes of a test, without any condition.
  void erase(const std::string& key);
  void put(const std::string& key, const Json& value);
  std::map<std::string, Json> values() const;
  /// An empty object: no such key.
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
  /// No reply: none yet, or never.
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
