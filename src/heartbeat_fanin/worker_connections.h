// The connections to workers of a controller that sends them commands, one for each worker. Closes
// connections that have been idle for a while, sooner if there are many. Sends nothing by itself.
#pragma once
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include "http.h"

namespace corkmux {

namespace constants {
inline constexpr double kConnectionSweepInterval = 0.25;  // s between checks for idle connections
/// s that a connection may idle when there are many connections.
inline constexpr double kCommandConnectionIdleOverLimit = 5;
}  // namespace constants

namespace fanin {

class WorkerConnections {
 public:
  /// `max_connections`: connections to keep when all of them idle.
  WorkerConnections(Loop& loop, std::size_t max_connections)
      : loop_(loop), max_connections_(max_connections) {}
  /// The connection to a worker; replaced if the worker has moved to another address.
  http::Client& to(const std::string& worker, const std::string& address);
  /// Closes connections that have idled for too long; the owner calls it every kConnectionSweepInterval.
  void close_idle();
  std::size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    std::unique_ptr<http::Client> client;
    double used_at = 0;  // s of the steady clock
  };
  Loop& loop_;
  std::size_t max_connections_;
  std::unordered_map<std::string, Connection> connections_;  // by worker
};

}  // namespace fanin
}  // namespace corkmux
