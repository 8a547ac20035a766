// The connections to workers of a controller that sends them commands, one a worker. Those that carried
// nothing for a while are closed, sooner when they are many. Sends nothing by itself.
#pragma once
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include "http.h"

namespace corkmux {

namespace constants {
inline constexpr double kConnectionSweep = 0.25;           // s between looks for idle connections
inline constexpr double kCommandConnectionScarceIdle = 5;  // s a connection idles when there are many
}  // namespace constants

namespace fanin {

class WorkerConnections {
 public:
  /// `most`: connections to keep when all of them idle.
  WorkerConnections(Loop& loop, std::size_t most) : loop_(loop), most_(most) {}
  /// The connection to a worker, which may have moved to another address.
  http::Client& to(const std::string& worker, const std::string& address);
  /// Closes those that idle for too long; its owner calls it every kConnectionSweep.
  void close_idle();
  std::size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    std::unique_ptr<http::Client> client;
    double used_at = 0;  // s of the steady clock
  };
  Loop& loop_;
  std::size_t most_;
  std::unordered_map<std::string, Connection> connections_;  // by worker
};

}  // namespace fanin
}  // namespace corkmux
