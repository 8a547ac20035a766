#include "worker_connections.h"

#include "heartbeat_fanin_constants.h"
#include "net_constants.h"

namespace corkmux::fanin {

http::Client& WorkerConnections::to(const std::string& worker, const std::string& address) {
  auto& connection = connections_[worker];
  if (!connection.client || connection.client->address() != address)
    connection.client = std::make_unique<http::Client>(loop_, address, 1, 4);
  connection.used_at = steady_now();
  return *connection.client;
}

void WorkerConnections::close_idle() {
  double patience =
      connections_.size() > most_ ? constants::kCommandConnectionScarceIdle : constants::kIdleConnection;
  double now = steady_now();
  std::erase_if(connections_, [&](const auto& entry) {
    return !entry.second.client->busy() && now - entry.second.used_at > patience;
  });
}

}  // namespace corkmux::fanin
