#include "event_simulator.h"

#include <algorithm>

namespace corkmux::simulation {

EventSimulator::EventSimulator(std::uint64_t seed, double max_wall_skew_s)
    : max_wall_skew_s_(max_wall_skew_s),
      rng_(seed),
      simulator_host_(*this, "world", "0.0.0.0", "", HostRole::Simulator) {
  Runtime::in_use = &simulator_host_;
}
EventSimulator::~EventSimulator() { Runtime::in_use = nullptr; }

Host& EventSimulator::add_host(const std::string& name, const std::string& ip, const std::string& zone,
                               HostRole role) {
  hosts_.push_back(std::make_unique<Host>(*this, name, ip, zone, role));
  hosts_by_ip_[ip] = hosts_.back().get();
  return *hosts_.back();
}

Host* EventSimulator::find_host(const std::string& ip) const {
  auto found = hosts_by_ip_.find(ip);
  return found == hosts_by_ip_.end() ? nullptr : found->second;
}

std::uint64_t EventSimulator::schedule_at(double time, Host* host, std::function<void()> callback) {
  auto id = next_event_++;
  pending_.insert(id);
  queue_.push({std::max(time, now_), id, host, std::move(callback)});
  return id;
}

void EventSimulator::run_until(double time) {
  while (!queue_.empty() && queue_.top().time <= time) {
    // std::priority_queue offers no move from its top; the moved-from event is popped at once.
    Event event = std::move(const_cast<Event&>(queue_.top()));
    queue_.pop();
    if (!pending_.contains(event.id)) continue;
    now_ = std::max(now_, event.time);
    if (event.host && event.host->alive() && event.host->stalled()) {
      // Requeued under its id, so that the host runs its events in the original order when the stall ends.
      event.time = event.host->stalled_until();
      queue_.push(std::move(event));
      continue;
    }
    pending_.erase(event.id);
    if (event.host && !event.host->alive()) continue;
    run_as(event.host ? *event.host : simulator_host_, event.callback);
  }
  now_ = std::max(now_, time);
}

void EventSimulator::run_as(Host& host, const std::function<void()>& callback) {
  struct RestoreRuntime {
    Runtime* before = Runtime::in_use;
    ~RestoreRuntime() { Runtime::in_use = before; }
  } restore;
  Runtime::in_use = &host;
  callback();
}

}  // namespace corkmux::simulation
