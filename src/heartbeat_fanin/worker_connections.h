// The connections to workers of a controller that sends them orders, one a worker. Those that carried nothing
// for a while are closed, sooner when they are many.
#pragma once
#include <memory>
#include <string>
#include <unordered_map>

#include "http.h"

namespace corkmux::fanin {

class WorkerConnections {
 public:
  /// `most`: connections to keep when all of them idle.
  WorkerConnections(Loop& loop, std::size_t most) : loop_(loop), most_(most) {}
  /// The connection to a worker, which may have moved to another address.
  http::Client& to(const std::string& worker, const std::string& address);
  /// Closes those that idle for too long; to be called every now and then.
  void close_idle();
  std::size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    std::unique_ptr<http::Client> client;
    double used_at = 0;  // s of the steady clock
  };
  Loop& loop_;
  std::size_t most_;
  std::unordered_map<std::string, Connection> connections_;
};

}  // namespace corkmux::fanin
