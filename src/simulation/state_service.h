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
#include "state_store_constants.h"

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

class State {
 public:
  explicit State(Loop& loop, const std::string& address = "127.0.0.1:0");
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  int port() const { return doors_.front()->server.port(); }
  /// A second address of the same service, so that one caller can be treated unlike the others.
  std::size_t add_door(const std::string& address);
  int door_port(std::size_t door) const { return doors_[door]->server.port(); }
  /// Whoever comes through it gets 503; its leases expire and its open watches wait.
  void refuse(std::size_t door, bool refused) { doors_[door]->refused = refused; }
  /// Everybody gets 503. When it ends, every lease has its full time again.
  bool down = false;
  /// Neither executes nor answers anything.
  bool mute = false;
  /// Watches get no answer, whatever changes.
  bool lose_watches = false;
  /// Executes the next transaction but never answers it.
  bool swallow_next_txn = false;
  /// Limits; they may fall at any moment.
  std::size_t value_bytes = 1 << 20, txn_ops = 1000;
  RateLimiter requests, changes;
  int refused = 0;           // transactions beyond the limits
  int over_rate = 0;         // requests answered 429
  std::uint64_t served = 0;  // requests
  /// Puts and removals that were executed, by the part of the key before its first slash.
  std::map<std::string, std::uint64_t> changes_by_kind;
  /// Items that a page holds, whatever is asked for.
  std::size_t page_most = 1000;
  int pages_read = 0;
  /// s until an answer leaves; only on a driven loop. Null: at once.
  std::function<double()> latency;
  /// The service forgets all changes so far: watches from before get 410.
  void forget_history() { history_from_ = epoch_ + 1; }
  /// Transactions that write under this prefix are neither executed nor answered until release().
  std::string hold_prefix;
  /// What came of the held ones, applied late: their statuses.
  std::vector<int> release();
  bool holds() const { return !held_.empty(); }
  void remove(const std::string& key);
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
  void erase(const std::string& key);
  void log(const std::string& key, Json event);
  void expire();
  /// Answers the watches for which there is something, or whose time is over.
  void wake();
  Loop& loop_;
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
