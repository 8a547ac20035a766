#include "host.h"

#include <algorithm>
#include <stdexcept>

#include "event_simulator.h"

namespace corkmux::simulation {

std::string ip_of(const std::string& address) { return address.substr(0, address.rfind(':')); }
int port_of(const std::string& address) { return std::stoi(address.substr(address.rfind(':') + 1)); }

Host::Host(EventSimulator& simulator, std::string name, std::string ip, std::string zone, HostRole role)
    : simulator_(simulator), name_(std::move(name)), ip_(std::move(ip)), zone_(std::move(zone)), role_(role) {
  if (!zone_.empty()) steady_rate_ = 1 + simulator_.uniform(-kMaxClockDrift, kMaxClockDrift);
  wall_skew_s_ = simulator_.uniform(-simulator_.max_wall_skew_s(), simulator_.max_wall_skew_s());
}

double Host::steady() const { return kSteadyEpoch + simulator_.now() * steady_rate_; }
double Host::wall() const { return kWallEpoch + simulator_.now() + wall_skew_s_; }
std::uint64_t Host::random() { return simulator_.rng()(); }

std::uint64_t Host::start(double after_s, std::function<void()> callback) {
  // Timers never fire early; kTimerStep models their resolution.
  double step = after_s > 0 ? kTimerStep : 0;
  return simulator_.schedule_at(simulator_.now() + std::max(0.0, after_s) / steady_rate_ + step, this,
                                std::move(callback));
}
void Host::stop(std::uint64_t timer) { simulator_.cancel(timer); }

int Host::listen(const std::string& address, Accept accept) {
  int port = port_of(address);
  if (!port) port = next_port_++;
  if (!listeners_.emplace(port, std::move(accept)).second)
    throw std::runtime_error("cannot listen on " + address);
  return port;
}
void Host::unlisten(int port) { listeners_.erase(port); }

const http::Transport::Accept* Host::listener(int port) const {
  auto found = listeners_.find(port);
  return found == listeners_.end() ? nullptr : &found->second;
}

bool Host::send(const std::string& address, http::Request request, bool open, Done done) {
  return simulator_.network().send(*this, address, std::move(request), open, std::move(done));
}

double Host::simulated_time() const { return simulator_.now(); }
bool Host::stalled() const { return stalled_until_ > simulator_.now(); }
void Host::stall(double until) { stalled_until_ = std::max(stalled_until_, until); }

void Host::end(HostEnd how) {
  alive_ = false;
  powered_off_ = how == HostEnd::PoweredOff;
  listeners_.clear();
  simulator_.network().host_ended(*this);
}

}  // namespace corkmux::simulation
