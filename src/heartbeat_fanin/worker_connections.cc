#include "worker_connections.h"

#include "net_constants.h"

namespace corkmux::fanin {

http::Client& WorkerConnections::to(const std::string& worker, const std::string& address) {
  constexpr std::size_t kConnections = 1;
  constexpr std::size_t kQueue = 4;  // requests that wait for the connection
  auto& connection = connections_[worker];
  if (!connection.client || connection.client->address() != address)
    connection.client = std::make_unique<http::Client>(loop_, address, kConnections, kQueue);
  connection.used_at = steady_now();
  return *connection.client;
}

void WorkerConnections::close_idle() {
  bool over_limit = connections_.size() > max_connections_;
  double idle_limit = over_limit ? constants::kCommandConnectionIdleOverLimit : constants::kIdleConnection;
  double now = steady_now();
  std::erase_if(connections_, [&](const auto& entry) {
    return !entry.second.client->busy() && now - entry.second.used_at > idle_limit;
  });
}

}  // namespace corkmux::fanin
