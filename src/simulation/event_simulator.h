// Stepped time: one queue of events for all hosts of a simulation, run in order of time, then of scheduling.
// The same seed gives the same order. Owns the hosts, the network between them and the one source of random
// numbers; knows nothing of what the hosts run.
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

class EventSimulator {
 public:
  /// `max_wall_skew_s`: by which hosts' times of day may be off. While the simulator lives, its clock is the
  /// runtime in use wherever no host runs; so there is one simulator at a time.
  explicit EventSimulator(std::uint64_t seed, double max_wall_skew_s = 0);
  ~EventSimulator();
  EventSimulator(const EventSimulator&) = delete;
  EventSimulator& operator=(const EventSimulator&) = delete;

  /// s since the simulation began.
  double now() const { return now_; }
  double max_wall_skew_s() const { return max_wall_skew_s_; }

  std::mt19937_64& rng() { return rng_; }
  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(rng_); }
  /// A uniform draw of 0 .. count - 1.
  std::size_t below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(rng_);
  }

  /// Makes the host at that address from now on; an earlier one there must have ended.
  Host& add_host(const std::string& name, const std::string& ip, const std::string& zone, HostRole role);
  /// The latest host at that address; null: there was none.
  Host* find_host(const std::string& ip) const;
  SimulatedNetwork& network() { return network_; }
  const SimulatedNetwork& network() const { return network_; }

  /// Runs the callback then, or now if that is past: on the host, once it is not stalled and unless it has
  /// ended; a null host stands for the simulation itself. Returns its id for cancel().
  std::uint64_t schedule_at(double time, Host* host, std::function<void()> callback);
  /// Runs the callback, which belongs to no host, so many s from now.
  void schedule_after(double after_s, std::function<void()> callback) {
    schedule_at(now_ + after_s, nullptr, std::move(callback));
  }
  void cancel(std::uint64_t event) { pending_.erase(event); }
  /// Runs all events up to then, s since the simulation began.
  void run_until(double time);
  /// Runs the callback at once, as the host would.
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
