#include "event_simulator.h"

#include <algorithm>
#include <stdexcept>

#include "simulation_constants.h"

namespace corkmux::simulation {
namespace {
int port_of(const std::string& address) { return std::stoi(address.substr(address.rfind(':') + 1)); }
std::string ip_of(const std::string& address) { return address.substr(0, address.rfind(':')); }
}  // namespace

Host::Host(EventSimulator& simulation, std::string name, std::string ip, std::string zone)
    : simulation_(simulation), name_(std::move(name)), ip_(std::move(ip)), zone_(std::move(zone)) {
  rate_ = zone_.empty()
              ? 1
              : 1 + simulation_.uniform(-kDrift, kDrift);  // what is regional keeps the simulated time
  skew_ = simulation_.uniform(-simulation_.skew_s_, simulation_.skew_s_);
}
double Host::steady() const { return kEpoch + simulation_.now_ * rate_; }
double Host::wall() const { return kWallEpoch + simulation_.now_ + skew_; }
std::uint64_t Host::random() { return simulation_.rng_(); }
std::uint64_t Host::start(double after_s, std::function<void()> fn) {
  // Timers never fire early, and in steps, as DEPLOY says.
  double step = after_s > 0 ? kTimerStep : 0;
  return simulation_.at(simulation_.now_ + std::max(0.0, after_s) / rate_ + step, this, std::move(fn));
}
void Host::stop(std::uint64_t timer) { simulation_.cancel(timer); }
int Host::listen(const std::string& address, Accept accept) {
  int port = port_of(address);
  if (!port) port = next_port_++;
  if (!ports_.emplace(port, std::move(accept)).second)
    throw std::runtime_error("cannot listen on " + address);
  return port;
}
void Host::unlisten(int port) { ports_.erase(port); }
bool Host::send(const std::string& address, http::Request request, bool open, Done done) {
  return simulation_.carry(*this, address, std::move(request), open, std::move(done));
}
double Host::simulated_time() const { return simulation_.now(); }
bool Host::stalled() const { return stalled_until_ > simulation_.now_; }
void Host::stall(double until) { stalled_until_ = std::max(stalled_until_, until); }
void Host::end(bool silent) {
  alive_ = false, silent_ = silent;
  ports_.clear();
  simulation_.ended(*this);
}

EventSimulator::EventSimulator(std::uint64_t seed, double skew_s) : skew_s_(skew_s), rng_(seed) {
  services_loop_ = std::make_unique<Host>(*this, "world", "0.0.0.0", "");
  Runtime::in_use = services_loop_.get();
}
EventSimulator::~EventSimulator() { Runtime::in_use = nullptr; }

Host& EventSimulator::host(const std::string& name, const std::string& ip, const std::string& zone,
                           const std::string& role) {
  hosts_.push_back(std::make_unique<Host>(*this, name, ip, zone));
  hosts_.back()->role = role;
  by_ip_[ip] = hosts_.back().get();
  return *hosts_.back();
}
Host* EventSimulator::find(const std::string& ip) const {
  auto it = by_ip_.find(ip);
  return it == by_ip_.end() ? nullptr : it->second;
}

std::uint64_t EventSimulator::at(double time, Host* host, std::function<void()> fn) {
  auto id = next_event_++;
  live_.insert(id);
  queue_.push({std::max(time, now_), id, host, std::move(fn)});
  return id;
}

void EventSimulator::run_until(double time) {
  while (!queue_.empty() && queue_.top().time <= time) {
    Event e = std::move(const_cast<Event&>(queue_.top()));  // popped at once
    queue_.pop();
    if (!live_.count(e.id)) continue;
    now_ = std::max(now_, e.time);
    if (e.host && e.host->alive_ && e.host->stalled()) {  // in order, when it wakes
      e.time = e.host->stalled_until_;
      queue_.push(std::move(e));
      continue;
    }
    live_.erase(e.id);
    if (e.host && !e.host->alive_) continue;
    ++events_run_;
    as(e.host ? *e.host : *services_loop_, e.fn);
  }
  now_ = std::max(now_, time);
}

void EventSimulator::as(Host& host, const std::function<void()>& fn) {
  struct Use {
    Runtime* before = Runtime::in_use;
    ~Use() { Runtime::in_use = before; }
  } use;
  Runtime::in_use = &host;
  fn();
}

// ---------------------------------------------------------------- network

void EventSimulator::cut(Between between, CutMode mode, double until) {
  cuts_.push_back({std::move(between), mode, until});
  if (mode == CutMode::Hold) return;
  std::vector<std::uint64_t> broken;
  for (const auto& [id, c] : calls_)
    if (c.to && (cuts_.back().between(*c.from, *c.to) || cuts_.back().between(*c.to, *c.from)))
      broken.push_back(id);
  if (mode == CutMode::Reset)
    for (auto id : broken) finish(id, {0, "", true, "the connection was closed"}, 0);
}
void EventSimulator::lose_answers(Between between, double share, double until, std::string path) {
  lossy_.push_back({std::move(between), share, until, std::move(path)});
}
void EventSimulator::lose_requests(Between between, double until) {
  mute_.push_back({std::move(between), 1, until});
}
void EventSimulator::slow(Between between, double factor, double until) {
  slow_.push_back({std::move(between), factor, until});
}

const EventSimulator::Cut* EventSimulator::cut_between(const Host& from, const Host& to) const {
  const Cut* longest = nullptr;
  for (const auto& c : cuts_)
    if (c.until > now_ && (!longest || c.until > longest->until) && c.between(from, to)) longest = &c;
  return longest;
}

double EventSimulator::delay(const Host& from, const Host& to) {
  double d = (from.zone_ == to.zone_ ? kNearDelay : kFarDelay) * uniform(0.7, 1.6);
  if (uniform(0, 1) < kResendShare) d += kResend;
  for (const auto& s : slow_)
    if (s.until > now_ && (s.between(from, to) || s.between(to, from))) d *= s.value;
  return d;
}

bool EventSimulator::carry(Host& from, const std::string& address, http::Request request, bool open,
                           http::Transport::Done done) {
  Host* to = find(ip_of(address));
  auto id = next_call_++;
  calls_[id] = {&from, to, std::move(done), request.target};
  if (from.role == "controller" && to && to->role == "controller") ++peer_requests_[request.target];
  if (!to) {  // nobody there: silent
    calls_.erase(id);
    return false;
  }
  const Cut* out = cut_between(from, *to);
  const Cut* back = cut_between(*to, from);
  double held = now_;
  for (const Cut* c : {out, back}) {
    if (!c) continue;
    if (c->mode == CutMode::Refuse)
      return finish(id, {0, "", false, "connection refused"}, delay(from, *to)), true;
    if (!open)
      return calls_.erase(id), false;  // a connection attempt that was given up does not complete later
    if (c->mode == CutMode::Reset)
      return finish(id, {0, "", true, "the connection was closed"}, delay(from, *to)), true;
  }
  for (const auto& m : mute_)
    if (m.until > now_ && m.between(from, *to)) return true;
  for (const auto& l : late_) {
    if (l.until <= now_ || !l.between(from, *to) || request.target.rfind(l.path, 0) != 0) continue;
    if (uniform(0, 1) >= l.share) continue;
    if (l.kept) {
      if (kept_.size() >= kHeldCopies) kept_.pop_front();
      kept_.emplace_back(&from, request);
      continue;
    }
    auto copy = next_call_++;
    calls_[copy] = {&from, to, [](http::Result) {}};
    at(now_ + uniform(l.least_s, l.most_s), nullptr,
       [this, copy, port = port_of(address), request]() mutable { deliver(copy, port, std::move(request)); });
    if (l.only_then) return true;
  }
  if (out) held = out->until, ++held_back_;
  double when = std::max(now_, held) + delay(from, *to);
  at(when, nullptr, [this, id, port = port_of(address), request = std::move(request)]() mutable {
    deliver(id, port, std::move(request));
  });
  return true;
}

std::size_t EventSimulator::deliver_kept(const std::vector<Host*>& to, int port) {
  auto copies = std::exchange(kept_, {});
  for (const auto& kept : copies)
    for (Host* host : to) {
      auto copy = next_call_++;
      calls_[copy] = {kept.first, host, [](http::Result) {}};
      at(now_, nullptr, [this, copy, port, request = http::Request(kept.second)]() mutable {
        deliver(copy, port, std::move(request));
      });
    }
  return copies.size();
}

void EventSimulator::deliver(std::uint64_t call, int port, http::Request request) {
  auto it = calls_.find(call);
  if (it == calls_.end()) return;
  Host& to = *it->second.to;
  if (!to.alive_ || find(to.ip_) != &to) {
    if (to.silent_) return;
    return finish(call, {0, "", false, "connection refused"}, kNearDelay);
  }
  if (!to.ports_.count(port)) return finish(call, {0, "", false, "connection refused"}, kNearDelay);
  at(now_, &to, [this, call, port, host = &to, request = std::move(request)]() mutable {
    auto listener = host->ports_.find(port);
    if (listener == host->ports_.end()) return finish(call, {0, "", false, "connection refused"}, kNearDelay);
    auto accept = listener->second;
    accept(std::move(request), [this, call](const http::Response& r) { answer(call, r); });
  });
}

void EventSimulator::answer(std::uint64_t call, const http::Response& response) {
  auto it = calls_.find(call);
  if (it == calls_.end()) return;
  Host &from = *it->second.from, &to = *it->second.to;
  for (const auto& l : lossy_)
    if (l.until > now_ && l.between(to, from) && it->second.target.rfind(l.path, 0) == 0 &&
        uniform(0, 1) < l.value) {
      ++answers_lost_;
      return;
    }
  double held = now_;
  if (const Cut* back = cut_between(to, from)) {
    if (back->mode != CutMode::Hold) return finish(call, {0, "", true, "the connection was closed"}, 0);
    held = back->until;
  }
  finish(call, {response.status, response.body, true}, held - now_ + delay(to, from));
}

void EventSimulator::finish(std::uint64_t call, http::Result result, double after) {
  auto it = calls_.find(call);
  if (it == calls_.end()) return;
  Call c = std::move(it->second);
  calls_.erase(it);
  at(now_ + after, c.from,
     [done = std::move(c.done), result = std::move(result)]() mutable { done(std::move(result)); });
}

void EventSimulator::ended(Host& host) {
  std::vector<std::uint64_t> broken;
  for (const auto& [id, c] : calls_)
    if (c.to == &host && !host.silent_) broken.push_back(id);
  for (auto id : broken) finish(id, {0, "", true, "the connection was closed"}, kNearDelay);
}

}  // namespace corkmux::simulation
