// Discrete-event simulator: one queue of events for all hosts of a simulation, run in order of time, then of
// scheduling. The same seed gives the same order. Owns the hosts, the network between them and the only
// source of random numbers; independent of the software that the hosts run.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "host.h"
#include "simulated_network.h"

namespace corkmux::simulation {

/// The event queue, the clock and the hosts of a simulation.
class EventSimulator {
 public:
  /// `max_wall_skew_s`: the largest error of a host's wall clock. While the simulator exists, its clock is
  /// the runtime in use whenever no host runs, so only one simulator may exist at a time.
  explicit EventSimulator(std::uint64_t seed, double max_wall_skew_s = 0);
  ~EventSimulator();
  EventSimulator(const EventSimulator&) = delete;
  EventSimulator& operator=(const EventSimulator&) = delete;

  /// Seconds since the simulation began.
  double now() const { return now_; }
  double max_wall_skew_s() const { return max_wall_skew_s_; }

  std::mt19937_64& rng() { return rng_; }
  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(rng_); }
  /// Draws uniformly from 0 .. count - 1.
  std::size_t below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(rng_);
  }

  /// Creates the host that has address `ip` from now on; an earlier host at that address must have ended.
  Host& add_host(const std::string& name, const std::string& ip, const std::string& zone, HostRole role);
  /// The latest host at that address; null if there never was one.
  Host* find_host(const std::string& ip) const;
  SimulatedNetwork& network() { return network_; }
  const SimulatedNetwork& network() const { return network_; }

  /// Schedules the callback for `time`, or for now if `time` is past. It runs on the host, as soon as the
  /// host is not stalled, and never if the host has ended; a null host is the simulation itself. Returns the
  /// event's id for cancel().
  std::uint64_t schedule_at(double time, Host* host, std::function<void()> callback);
  /// Schedules a callback of the simulation itself (no host) `after_s` seconds from now.
  void schedule_after(double after_s, std::function<void()> callback) {
    schedule_at(now_ + after_s, nullptr, std::move(callback));
  }
  void cancel(std::uint64_t event) { pending_.erase(event); }
  /// Runs all events up to `time`, in seconds since the simulation began.
  void run_until(double time);
  /// Runs the callback immediately, with the host as the runtime in use.
  void run_as(Host& host, const std::function<void()>& callback);

 private:
  struct Event {
    double time;
    std::uint64_t id;
    Host* host;
    std::function<void()> callback;
  };
  struct RunsLater {
    bool operator()(const Event& left, const Event& right) const {
      return left.time != right.time ? left.time > right.time : left.id > right.id;
    }
  };

  double now_ = 0;
  double max_wall_skew_s_;
  std::mt19937_64 rng_;
  std::uint64_t next_event_ = 1;
  std::priority_queue<Event, std::vector<Event>, RunsLater> queue_;
  std::unordered_set<std::uint64_t> pending_;  // events that neither have run nor are cancelled
  std::vector<std::unique_ptr<Host>> hosts_;
  std::unordered_map<std::string, Host*> hosts_by_ip_;
  SimulatedNetwork network_{*this};
  Host simulator_host_;  // the runtime in use while no host runs
};

}  // namespace corkmux::simulation
