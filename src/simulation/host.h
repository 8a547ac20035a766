// A host of a simulation: a controller process, a machine, the users, or the platform's services. Provides
// clocks, timers, random numbers and transport to the code under test. Owned by the EventSimulator.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "http.h"

namespace corkmux::simulation {

class EventSimulator;

inline constexpr double kMaxClockDrift = 0.0005;  // of steady clocks, either way (deployment guide)
inline constexpr double kTimerStep = 0.001;       // s; timer resolution is one or a few ms (deployment guide)
inline constexpr double kSteadyEpoch = 1000;      // s of the steady clock at the start; 0 could mean never
inline constexpr double kWallEpoch = 1700000000;  // s since 1970 at the start

/// The kind of a host; network faults select hosts by it.
enum class HostRole {
  Simulator,   // the clock of the simulation itself
  Controller,  // one process of a controller
  Worker,      // a machine
  Services,    // state store and cloud
  Users
};

/// How a host ended: after ProcessExited its operating system still refuses connections; after PoweredOff
/// nothing answers.
enum class HostEnd { ProcessExited, PoweredOff };

/// One process or machine at one address. Kept until the simulation ends, since late messages may still refer
/// to it.
class Host : public Runtime, public http::Transport {
 public:
  /// `zone`: empty for a regional host, whose steady clock has no drift. Draws the errors of the host's
  /// clocks at random.
  Host(EventSimulator& simulator, std::string name, std::string ip, std::string zone, HostRole role);

  double steady() const override;
  double wall() const override;
  std::uint64_t random() override;
  std::uint64_t start(double after_s, std::function<void()> callback) override;
  void stop(std::uint64_t timer) override;
  http::Transport& transport() override { return *this; }

  int listen(const std::string& address, Accept accept) override;
  void unlisten(int port) override;
  bool send(const std::string& address, http::Request request, bool open, Done done) override;

  /// Suspends the host until `until`, in seconds of simulated time, while its clocks keep running. Never
  /// shortens an earlier stall.
  void stall(double until);
  bool stalled() const;
  double stalled_until() const { return stalled_until_; }
  /// Ends the host permanently: none of its callbacks run any more.
  void end(HostEnd how);
  bool alive() const { return alive_; }
  bool powered_off() const { return powered_off_; }

  const std::string& name() const { return name_; }
  /// Empty for a regional host.
  const std::string& zone() const { return zone_; }
  const std::string& ip() const { return ip_; }
  HostRole role() const { return role_; }
  /// Null if nothing listens on that port.
  const Accept* listener(int port) const;
  /// Seconds since the simulation began.
  double simulated_time() const;

 private:
  EventSimulator& simulator_;
  std::string name_;
  std::string ip_;
  std::string zone_;
  HostRole role_;
  double steady_rate_ = 1;  // s of the steady clock per s of simulated time
  double wall_skew_s_ = 0;
  double stalled_until_ = 0;  // s of simulated time
  bool alive_ = true;
  bool powered_off_ = false;
  int next_port_ = 20000;
  std::map<int, Accept> listeners_;
};

/// The parts of an address host:port.
std::string ip_of(const std::string& address);
int port_of(const std::string& address);

}  // namespace corkmux::simulation
