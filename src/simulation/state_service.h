// The state service of PROTOCOL, in memory: keys, conditional transactions, leases, watches with a bounded
// history, rates with bursts, limits that fall, outages; and answers that a test holds back. Runs on any
// Loop.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "codec.h"
#include "http.h"
#include "simulation_constants.h"

namespace corkmux::simulation {

using codec::Json;
using Id = http::Server::ConnectionId;

/// A rate with bursts of so many seconds' worth; 0: none.
class RateLimiter {
 public:
  void set(double rate, double burst_s = 1) {
    rate_ = rate, burst_ = rate * burst_s, left_ = burst_, at_ = steady_now();
  }
  bool take(double n);

 private:
  double rate_ = 0, burst_ = 0, left_ = 0, at_ = 0;
};

/// The value of a query's field, as sent.
std::string query(const std::string& target, const std::string& name);

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

/// Faults that a test or a simulation switches on and off.
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
  explicit StateService(Loop& loop, const std::string& address = "127.0.0.1:0");
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  int port() const { return doors_.front()->server.port(); }
  /// A second address of the same service, so that one caller can be treated unlike the others.
  std::size_t add_listener(const std::string& address);
  int listener_port(std::size_t listener) const { return doors_[listener]->server.port(); }
  /// Whoever comes through it gets 503; its leases expire and its open watches wait.
  void set_listener_unavailable(std::size_t listener, bool unavailable) {
    doors_[listener]->refused = unavailable;
  }
  StateServiceFaults faults;
  StateServiceLimits limits;
  RateLimiter request_rate, change_rate;
  const StateServiceCounters& counters() const { return counters_; }
  /// s until an answer leaves; only on a driven loop. Null: at once.
  std::function<double()> latency;
  /// The service forgets all changes so far: watches from before get 410.
  void forget_history() { history_from_ = epoch_ + 1; }
  /// What came of the held ones, applied late: their statuses.
  std::vector<int> release_held();
  bool holds_transactions() const { return !held_.empty(); }
  void erase(const std::string& key);
  void put(const std::string& key, const Json& value);
  std::map<std::string, Json> values() const;
  /// An empty object: no such key.
  Json value(const std::string& key) const {
    auto it = data_.find(key);
    return it == data_.end() ? Json::object() : it->second.value;
  }
  std::size_t size() const { return data_.size(); }

 private:
  struct Door {
    Door(Loop& loop, const std::string& address, http::Server::Handler handler)
        : server(loop, address, kStateConnections, std::move(handler)) {}
    http::Server server;
    bool refused = false;
  };
  struct Entry {
    Json value;
    std::uint64_t stamp = 0, tenure = 0;
  };
  struct Watcher {
    Door* door;
    Id id;
    std::string prefix;
    std::uint64_t after;
    double until;
  };
  struct Lease {
    double life = 0, until = 0;
  };
  struct Change {
    std::uint64_t epoch;
    std::string key;
    Json event;
  };
  void answer(Door& door, Id id, int status, const Json& body);
  void serve(Door& door, Id id, http::Request r);
  void list(Door& door, Id id, const std::string& target);
  void txn(Door& door, Id id, const Json& body);
  Json failing(const Json& body) const;
  void apply(const Json& body);
  void remove_key(const std::string& key);
  void log(const std::string& key, Json event);
  void expire();
  /// Answers the watches for which there is something, or whose time is over.
  void wake();
  Loop& loop_;
  StateServiceCounters counters_;
  std::uint64_t epoch_ = 0, leases_created_ = 0, history_from_ = 0, woken_for_ = 0;
  std::map<std::string, Entry> data_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> log_;
  std::vector<Watcher> watchers_;
  std::vector<Json> held_;
  std::vector<std::unique_ptr<Door>> doors_;
  Timer timer_;
};

}  // namespace corkmux::simulation
