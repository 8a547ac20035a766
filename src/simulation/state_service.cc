#include "state_service.h"

#include <algorithm>

#include "simulation_constants.h"

namespace corkmux::simulation {

bool RateLimiter::take(double n) {
  if (rate_ <= 0) return true;
  double now = steady_now();
  left_ = std::min(burst_, left_ + rate_ * (now - at_));
  at_ = now;
  if (left_ < n) return false;
  left_ -= n;
  return true;
}

std::string query(const std::string& target, const std::string& name) {
  auto at = target.find(name + "=");
  if (at == std::string::npos) return "";
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

StateService::StateService(Loop& loop, const std::string& address) : loop_(loop), timer_(loop) {
  add_listener(address);
  timer_.every(0.05, [this] { expire(); });
}

std::size_t StateService::add_listener(const std::string& address) {
  auto door = doors_.size();
  doors_.push_back(std::make_unique<Door>(
      loop_, address, [this, door](Id id, http::Request r) { serve(*doors_[door], id, std::move(r)); }));
  return door;
}

std::vector<int> StateService::release_held() {
  faults.held_prefix.clear();
  std::vector<int> out;
  for (const auto& body : std::exchange(held_, {})) {
    Json failed = failing(body);
    out.push_back(failed.empty() ? 200 : 409);
    if (failed.empty()) apply(body);
  }
  return out;
}
void StateService::erase(const std::string& key) {
  ++epoch_;
  remove_key(key);
  wake();
}
void StateService::put(const std::string& key, const Json& value) {
  data_[key] = {value, ++epoch_, 0};
  log(key, {{"write", key}, {"value", value}, {"stamp", epoch_}});
  wake();
}
std::map<std::string, Json> StateService::values() const {
  std::map<std::string, Json> out;
  for (const auto& [k, e] : data_) out[k] = e.value;
  return out;
}

void StateService::answer(Door& door, Id id, int status, const Json& body) {
  http::Response response{status, codec::pack(body), 0, false};
  if (!latency || !loop_.runtime()) return door.server.respond(id, response);
  loop_.runtime()->start(latency(),
                         [&door, id, response = std::move(response)] { door.server.respond(id, response); });
}

void StateService::serve(Door& door, Id id, http::Request r) {
  expire();
  ++counters_.requests;
  if (faults.unresponsive) return;
  if (faults.unavailable || door.refused) return answer(door, id, 503, {{"error", "down"}});
  if (!request_rate.take(1)) {
    ++counters_.rate_limited;
    return answer(door, id, 429, {{"error", "too many requests"}});
  }
  Json body = r.body.empty() ? Json() : codec::unpack(r.body).value_or(Json());
  const std::string& t = r.target;
  if (t.rfind("/kv/", 0) == 0) {
    auto key = t.substr(4);
    auto it = data_.find(key);
    if (it == data_.end()) return answer(door, id, 404, {{"epoch", epoch_}});
    return answer(door, id, 200, {{"k", key}, {"value", it->second.value}, {"stamp", it->second.stamp}});
  }
  if (t.rfind("/kv?", 0) == 0) return list(door, id, t);
  if (t == "/multi") return txn(door, id, body);
  if (t == "/grants") {
    auto tenure = ++leases_created_;
    double life = body["lifeMs"].get<double>() / 1000;
    leases_[tenure] = {life, steady_now() + life};
    return answer(door, id, 200, {{"tenure", tenure}});
  }
  if (t.rfind("/grants/", 0) == 0) {
    auto it = leases_.find(std::stoull(t.substr(8)));
    if (it == leases_.end()) return answer(door, id, 404, {{"epoch", epoch_}});
    if (r.method == "DELETE") {
      it->second.until = -1e9;
      expire();
      return answer(door, id, 200, {{"epoch", epoch_}});
    }
    it->second.until = steady_now() + it->second.life;
    return answer(door, id, 200, {{"tenure", it->first}});
  }
  if (t.rfind("/watch", 0) == 0) {
    watchers_.push_back({&door, id, query(t, "under"), std::stoull(query(t, "after")),
                         steady_now() + std::stod(query(t, "waitMs")) / 1000});
    woken_for_ = 0;
    return wake();
  }
  answer(door, id, 400, {{"error", "what?"}});
}

void StateService::list(Door& door, Id id, const std::string& t) {
  Json pairs = Json::array();
  auto prefix = query(t, "under"), after = query(t, "after");
  std::size_t most =
      std::min({limits.page_items, kMostItems, static_cast<std::size_t>(std::stoul(query(t, "most")))});
  ++counters_.pages;
  bool more = false;
  for (auto it = data_.lower_bound(std::max(prefix, after));
       it != data_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
    if (!after.empty() && it->first <= after) continue;
    if (pairs.size() >= most) {
      more = true;
      break;
    }
    pairs.push_back({{"k", it->first}, {"value", it->second.value}, {"stamp", it->second.stamp}});
  }
  answer(door, id, 200, {{"pairs", pairs}, {"truncated", more}, {"epoch", epoch_}});
}

void StateService::txn(Door& door, Id id, const Json& body) {
  if (!change_rate.take(static_cast<double>(body["writes"].size()))) {
    ++counters_.rate_limited;
    return answer(door, id, 429, {{"error", "too many changes"}});
  }
  bool over =
      body["writes"].size() > limits.transaction_writes || body["if"].size() > 4 * limits.transaction_writes;
  for (const auto& w : body["writes"])
    over |= w.contains("value") && w["value"].dump().size() > limits.value_bytes;
  if (over) {
    ++counters_.oversized_transactions;
    return answer(door, id, 400, {{"error", "too large"}});
  }
  for (const auto& w : body["writes"])
    if (w.value("tenure", std::uint64_t{0}) && !leases_.count(w["tenure"].get<std::uint64_t>()))
      return answer(door, id, 400, {{"error", "no such lease"}});
  if (!faults.held_prefix.empty())
    for (const auto& w : body["writes"])
      if (w.value("write", "").rfind(faults.held_prefix, 0) == 0) return held_.push_back(body);
  Json failed = failing(body);
  if (!failed.empty()) return answer(door, id, 409, {{"failed", failed}, {"epoch", epoch_}});
  apply(body);
  if (std::exchange(faults.drop_next_transaction_answer, false)) return;
  answer(door, id, 200, {{"epoch", epoch_}});
}

Json StateService::failing(const Json& body) const {
  Json failed = Json::array();
  for (const auto& c : body["if"]) {
    auto it = data_.find(c["k"].get<std::string>());
    if ((it == data_.end() ? 0 : it->second.stamp) != c["stamp"].get<std::uint64_t>())
      failed.push_back(c["k"]);
  }
  return failed;
}

void StateService::apply(const Json& body) {
  if (body["writes"].empty()) return;
  ++epoch_;
  for (const auto& w : body["writes"]) {
    const auto& changed = w[w.contains("remove") ? "remove" : "write"].get_ref<const std::string&>();
    ++counters_.changes_by_kind[changed.substr(0, changed.find('/'))];
    if (w.contains("remove")) {
      remove_key(w["remove"].get<std::string>());
      continue;
    }
    auto key = w["write"].get<std::string>();
    data_[key] = {w["value"], epoch_, w.value("tenure", std::uint64_t{0})};
    log(key, {{"write", key}, {"value", w["value"]}, {"stamp", epoch_}});
  }
  wake();
}

void StateService::remove_key(const std::string& key) {
  if (data_.erase(key)) log(key, {{"remove", key}, {"stamp", epoch_}});
}

void StateService::log(const std::string& key, Json event) {
  log_.push_back({epoch_, key, std::move(event)});
  if (log_.size() <= kHistory) return;
  history_from_ = std::max(history_from_, log_.front().epoch + 1);
  log_.pop_front();
}

void StateService::expire() {
  double now = steady_now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (faults.unavailable) it->second.until = std::max(it->second.until, now + it->second.life);
    if (it->second.until > now) {
      ++it;
      continue;
    }
    std::vector<std::string> gone;
    for (const auto& [k, e] : data_)
      if (e.tenure == it->first) gone.push_back(k);
    if (!gone.empty()) ++epoch_;
    for (const auto& k : gone) remove_key(k);
    it = leases_.erase(it);
  }
  wake();
}

void StateService::wake() {
  double now = steady_now();
  std::vector<std::tuple<Door*, Id, int, Json>> answers;
  bool news = woken_for_ != epoch_ + 1;
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    bool too_old = it->after + 1 < history_from_;
    if (faults.unavailable || it->door->refused || (!news && !too_old && now < it->until)) {
      ++it;
      continue;
    }
    Json events = Json::array();
    auto from = std::upper_bound(log_.begin(), log_.end(), it->after,
                                 [](std::uint64_t after, const Change& c) { return after < c.epoch; });
    for (; from != log_.end(); ++from)
      if (from->key.rfind(it->prefix, 0) == 0) events.push_back(from->event);
    if (events.empty() && now < it->until && !too_old) {
      ++it;
      continue;
    }
    if (too_old)
      answers.emplace_back(it->door, it->id, 410, Json{{"epoch", epoch_}});
    else
      answers.emplace_back(it->door, it->id, 200, Json{{"epoch", epoch_}, {"log", events}});
    it = watchers_.erase(it);
  }
  // While it is away, what has changed has not been looked at for everybody.
  bool all_looked = !faults.unavailable;
  for (const auto& door : doors_) all_looked &= !door->refused;
  woken_for_ = all_looked ? epoch_ + 1 : 0;
  if (faults.withhold_watch_answers) return;
  for (auto& [door, id, status, body] : answers) answer(*door, id, status, body);
}

}  // namespace corkmux::simulation
