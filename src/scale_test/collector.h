// The server to which the host processes of a run report. Parses their messages; what they mean is the
// callbacks' matter.
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
    /// What the host is to do; nullopt: there is no such host.
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
