// HTTP server that receives the status messages of a run's host processes. Parses the messages and passes
// them to callbacks, which interpret them.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "http.h"
#include "machine_events.h"
#include "state_host.h"

namespace corkmux::scale_test {

class Collector {
 public:
  struct Callbacks {
    /// Returns the instructions for the host; nullopt: the host number is unknown.
    std::function<std::optional<HostInstructions>(const HostStatus&)> host_status;
    std::function<void(StateCounts)> state_counts;
  };
  Collector(Loop& loop, Callbacks callbacks);
  /// host:port
  std::string address() const;

 private:
  void serve(http::Server::ConnectionId id, const http::Request& request);
  void serve_host_status(http::Server::ConnectionId id, const HostStatus& status);
  void respond(http::Server::ConnectionId id, int status, std::string body = "");

  Callbacks callbacks_;
  http::Server server_;
};

}  // namespace corkmux::scale_test
