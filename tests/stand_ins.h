// Small stand-ins for the outside systems, written from PROTOCOL: state service, cloud and workers, on
// loopback.
#pragma once
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "codec.h"
#include "http.h"

namespace corkmux::standin {

using codec::Json;
using Id = http::Server::ConnectionId;

inline std::string query(const std::string& target, const std::string& name) {
  auto at = target.find(name + "=");
  if (at == std::string::npos) return "";
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

class State {
 public:
  explicit State(Loop& loop)
      : server_(loop, "127.0.0.1:0", 100, [this](Id id, http::Request r) { serve(id, std::move(r)); }),
        timer_(loop) {
    timer_.every(0.05, [this] { expire(); });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  bool down = false;
  /// Neither executes nor answers anything.
  bool mute = false;
  /// Executes the next transaction but never answers it.
  bool swallow_next_txn = false;
  /// Limits; they may fall at any moment.
  std::size_t value_bytes = 1 << 20, txn_ops = 1000;
  int refused = 0;  // transactions beyond them
  /// Items that a page holds, whatever is asked for.
  std::size_t page_most = 1000;
  int pages_read = 0;
  /// The service forgets all changes so far: watches from before get 410.
  void forget_history() { history_from_ = epoch_ + 1; }
  /// Transactions that write under this prefix are neither executed nor answered until release().
  std::string hold_prefix;
  /// What came of the held ones, applied late: their statuses.
  std::vector<int> release() {
    hold_prefix.clear();
    std::vector<int> out;
    for (const auto& body : std::exchange(held_, {})) {
      Json failed = failing(body);
      out.push_back(failed.empty() ? 200 : 409);
      if (failed.empty()) apply(body);
    }
    return out;
  }
  bool holds() const { return !held_.empty(); }
  void remove(const std::string& key) {
    ++epoch_;
    erase(key);
    wake();
  }
  void put(const std::string& key, const Json& value) {
    data_[key] = {value, ++epoch_, 0};
    log_.push_back({epoch_, key, {{"write", key}, {"value", value}, {"stamp", epoch_}}});
    wake();
  }
  std::map<std::string, Json> values() const {
    std::map<std::string, Json> out;
    for (const auto& [k, e] : data_) out[k] = e.value;
    return out;
  }

 private:
  struct Entry {
    Json value;
    std::uint64_t stamp = 0, tenure = 0;
  };
  struct Watcher {
    Id id;
    std::string prefix;
    std::uint64_t after;
    double until;
  };
  void answer(Id id, int status, const Json& body) {
    server_.respond(id, {status, codec::pack(body), 0, false});
  }
  void serve(Id id, http::Request r) {
    expire();
    if (mute) return;
    if (down) return answer(id, 503, {{"error", "down"}});
    Json body = r.body.empty() ? Json() : codec::unpack(r.body).value_or(Json());
    const std::string& t = r.target;
    if (t.rfind("/kv/", 0) == 0) {
      auto key = t.substr(4);
      auto it = data_.find(key);
      if (it == data_.end()) return answer(id, 404, {{"epoch", epoch_}});
      return answer(id, 200, {{"k", key}, {"value", it->second.value}, {"stamp", it->second.stamp}});
    }
    if (t.rfind("/kv?", 0) == 0) {
      Json pairs = Json::array();
      auto prefix = query(t, "under"), after = query(t, "after");
      std::size_t most = std::min(page_most, std::stoul(query(t, "most")));
      ++pages_read;
      bool more = false;
      for (auto it = data_.lower_bound(prefix); it != data_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        if (!after.empty() && it->first <= after) continue;
        if (pairs.size() >= most) {
          more = true;
          break;
        }
        pairs.push_back({{"k", it->first}, {"value", it->second.value}, {"stamp", it->second.stamp}});
      }
      return answer(id, 200, {{"pairs", pairs}, {"truncated", more}, {"epoch", epoch_}});
    }
    if (t == "/multi") return txn(id, body);
    if (t == "/grants") {
      auto tenure = ++grants_made_;
      double life = body["lifeMs"].get<double>() / 1000;
      grants_[tenure] = {life, steady_now() + life};
      return answer(id, 200, {{"tenure", tenure}});
    }
    if (t.rfind("/grants/", 0) == 0) {
      auto it = grants_.find(std::stoull(t.substr(8)));
      if (it == grants_.end()) return answer(id, 404, {{"epoch", epoch_}});
      if (r.method == "DELETE") {
        it->second.second = -1e9;
        expire();
        return answer(id, 200, {{"epoch", epoch_}});
      }
      it->second.second = steady_now() + it->second.first;
      return answer(id, 200, {{"tenure", it->first}});
    }
    if (t.rfind("/watch", 0) == 0) {
      watchers_.push_back({id, query(t, "under"), std::stoull(query(t, "after")),
                           steady_now() + std::stod(query(t, "waitMs")) / 1000});
      return wake();
    }
    answer(id, 400, {{"error", "what?"}});
  }
  void txn(Id id, const Json& body) {
    bool over = body["writes"].size() > txn_ops || body["if"].size() > 4 * txn_ops;
    for (const auto& w : body["writes"])
      over |= w.contains("value") && w["value"].dump().size() > value_bytes;
    if (over) {
      ++refused;
      return answer(id, 400, {{"error", "too large"}});
    }
    if (!hold_prefix.empty())
      for (const auto& w : body["writes"])
        if (w.value("write", "").rfind(hold_prefix, 0) == 0) return held_.push_back(body);
    Json failed = failing(body);
    if (!failed.empty()) return answer(id, 409, {{"failed", failed}, {"epoch", epoch_}});
    apply(body);
    if (std::exchange(swallow_next_txn, false)) return;
    answer(id, 200, {{"epoch", epoch_}});
  }
  Json failing(const Json& body) const {
    Json failed = Json::array();
    for (const auto& c : body["if"]) {
      auto it = data_.find(c["k"].get<std::string>());
      if ((it == data_.end() ? 0 : it->second.stamp) != c["stamp"].get<std::uint64_t>())
        failed.push_back(c["k"]);
    }
    return failed;
  }
  void apply(const Json& body) {
    ++epoch_;
    for (const auto& w : body["writes"]) {
      if (w.contains("remove")) {
        erase(w["remove"].get<std::string>());
        continue;
      }
      auto key = w["write"].get<std::string>();
      data_[key] = {w["value"], epoch_, w.value("tenure", std::uint64_t{0})};
      log_.push_back({epoch_, key, {{"write", key}, {"value", w["value"]}, {"stamp", epoch_}}});
    }
    wake();
  }
  void erase(const std::string& key) {
    if (data_.erase(key)) log_.push_back({epoch_, key, {{"remove", key}, {"stamp", epoch_}}});
  }
  void expire() {
    double now = steady_now();
    for (auto it = grants_.begin(); it != grants_.end();) {
      if (down) it->second.second = std::max(it->second.second, now + it->second.first);
      if (it->second.second > now) {
        ++it;
        continue;
      }
      std::vector<std::string> gone;
      for (const auto& [k, e] : data_)
        if (e.tenure == it->first) gone.push_back(k);
      if (!gone.empty()) ++epoch_;
      for (const auto& k : gone) erase(k);
      it = grants_.erase(it);
    }
    wake();
  }
  void wake() {
    double now = steady_now();
    for (auto it = watchers_.begin(); it != watchers_.end();) {
      Json events = Json::array();
      for (const auto& e : log_)
        if (e.epoch > it->after && e.key.rfind(it->prefix, 0) == 0) events.push_back(e.event);
      if (down || (events.empty() && now < it->until && it->after + 1 >= history_from_)) {
        ++it;
        continue;
      }
      auto id = it->id;
      bool too_old = it->after + 1 < history_from_;
      it = watchers_.erase(it);
      if (too_old) {
        answer(id, 410, {{"epoch", epoch_}});
        continue;
      }
      answer(id, 200, {{"epoch", epoch_}, {"log", events}});
    }
  }
  struct Logged {
    std::uint64_t epoch;
    std::string key;
    Json event;
  };
  std::uint64_t epoch_ = 0, grants_made_ = 0, history_from_ = 0;
  std::map<std::string, Entry> data_;
  std::map<std::uint64_t, std::pair<double, double>> grants_;
  std::vector<Logged> log_;
  std::vector<Watcher> watchers_;
  std::vector<Json> held_;
  http::Server server_;
  Timer timer_;
};

/// One machine: obeys tokens and sessions, runs each task for a fixed time, reports to one controller at a
/// time.
class Worker {
 public:
  Worker(Loop& loop, std::string name, std::string zone, std::map<std::string, int> controllers,
         std::map<std::string, int>& starts, double run_s)
      : loop_(loop),
        name_(std::move(name)),
        zone_(std::move(zone)),
        controllers_(std::move(controllers)),
        starts_(starts),
        run_s_(run_s),
        server_(loop, "127.0.0.1:0", 20, [this](Id id, http::Request r) { serve(id, std::move(r)); }),
        timer_(loop) {
    target_ = controllers_.begin()->first;
    timer_.every(0.05, [this] { step(); });
  }
  int tasks() const { return static_cast<int>(tasks_.size()); }
  int running() const {
    int n = 0;
    for (const auto& [k, t] : tasks_) n += t.state == "running";
    return n;
  }

 private:
  struct Task {
    std::uint64_t attempt = 0;
    std::string state = "running", cause;
    double until = 0;
  };
  Json report() {
    Json parts = Json::array();
    for (const auto& [part, t] : tasks_) {
      Json p = {{"part", part}, {"try", t.attempt}, {"phase", t.state}};
      if (!t.cause.empty()) p["cause"] = t.cause;
      parts.push_back(p);
    }
    return {{"host", name_},       {"address", "127.0.0.1:" + std::to_string(server_.port())},
            {"build", "g8"},       {"room", zone_},
            {"lendable", false},   {"watch", 1},
            {"tick", ++tick_},     {"baton", token_},
            {"warningS", nullptr}, {"parts", parts}};
  }
  void obey(const Json& body) {
    token_ = body["baton"].get<std::uint64_t>();
    for (const auto& o : body["orders"]) {
      auto part = o["part"].get<std::string>();
      auto attempt = o["try"].get<std::uint64_t>();
      auto it = tasks_.find(part);
      if (o["verb"] == "launch" && (it == tasks_.end() || it->second.attempt != attempt)) {
        tasks_[part] = {attempt, "running", "", steady_now() + run_s_};
        ++starts_[part];
      } else if (o["verb"] == "halt" && it != tasks_.end() && it->second.attempt == attempt) {
        it->second.state = "ended", it->second.cause = "halted";
      } else if (o["verb"] == "clear" && it != tasks_.end() && it->second.attempt == attempt &&
                 it->second.state == "ended") {
        tasks_.erase(it);
      }
    }
  }
  void serve(Id id, http::Request r) {
    auto body = codec::unpack(r.body).value_or(Json::object());
    int status = 200;
    if (r.target == "/orders") {
      if (body["baton"].get<std::uint64_t>() < token_ || body["watch"] != 1)
        status = 409;
      else
        obey(body);
    }
    server_.respond(id, {status, codec::pack(report()), 0, false});
  }
  void step() {
    double now = steady_now();
    for (auto& [part, t] : tasks_)
      if (t.state == "running" && now >= t.until) {
        t.state = "ended", t.cause = "done";
        next_ = now;
      }
    if (waiting_ || now < next_) return;
    waiting_ = true;
    next_ = now + 0.3;
    auto& client = clients_[target_];
    if (!client)
      client =
          std::make_unique<http::Client>(loop_, "127.0.0.1:" + std::to_string(controllers_[target_]), 1, 2);
    client->request("POST", "/v1/report", codec::pack(report()), 2, [this](http::Result r) {
      waiting_ = false;
      auto body = codec::unpack(r.body);
      if (r.status == 200 && body && (*body)["baton"].get<std::uint64_t>() >= token_) return obey(*body);
      if (r.status == 421 && body && body->contains("herald") && controllers_.count((*body)["herald"])) {
        target_ = (*body)["herald"].get<std::string>();
      } else {
        auto it = controllers_.upper_bound(target_);
        target_ = it == controllers_.end() ? controllers_.begin()->first : it->first;
      }
    });
  }
  Loop& loop_;
  std::string name_, zone_, target_;
  std::map<std::string, int> controllers_;
  std::map<std::string, int>& starts_;
  double run_s_, next_ = 0;
  bool waiting_ = false;
  std::uint64_t tick_ = 0, token_ = 0;
  std::map<std::string, Task> tasks_;
  std::map<std::string, std::unique_ptr<http::Client>> clients_;
  http::Server server_;
  Timer timer_;
};

class Cloud {
 public:
  explicit Cloud(Loop& loop)
      : server_(loop, "127.0.0.1:0", 20, [this](Id id, http::Request r) {
          if (r.target == "/catalog")
            return answer(id, 200,
                          {{"builds",
                            {{{"label", "g8"},
                              {"vcpus", 16},
                              {"accelerators", 0},
                              {"memGb", 64},
                              {"cacheGb", 50},
                              {"pullGbPerS", 1.0},
                              {"rate", 1.0},
                              {"spotPrice", 0.5},
                              {"readyS", 1},
                              {"rooms", {"a", "b"}}}}}});
          if (r.target == "/hosts") return answer(id, 503, {{"error", "no capacity"}});
          if (r.target == "/hosts/delete") {
            ++deletions;
            return answer(id, 200, Json::object());
          }
          answer(id, 200, {{"hosts", Json::array()}, {"truncated", false}});
        }) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  int deletions = 0;

 private:
  void answer(Id id, int status, const Json& body) {
    server_.respond(id, {status, codec::pack(body), 0, false});
  }
  http::Server server_;
};

}  // namespace corkmux::standin
