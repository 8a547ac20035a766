#include "collector.h"

#include <fmt/format.h>

#include "machine_limits.h"

namespace corkmux::scale_test {
namespace {

constexpr std::size_t kMaxConnections = kMaxProcesses + 50;

}  // namespace

Collector::Collector(Loop& loop, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      server_(loop, "127.0.0.1:0", kMaxConnections,
              [this](http::Server::ConnectionId id, http::Request request) { serve(id, request); }) {}

std::string Collector::address() const { return fmt::format("127.0.0.1:{}", server_.port()); }

void Collector::serve(http::Server::ConnectionId id, const http::Request& request) {
  auto body = codec::unpack(request.body);
  if (request.target == "/host" && body)
    if (auto status = parse_host_status(*body)) return serve_host_status(id, *status);
  if (request.target == "/state" && body) {
    callbacks_.state_counts(parse_state_counts(*body));
    return respond(id, 200);
  }
  respond(id, 400);
}

void Collector::serve_host_status(http::Server::ConnectionId id, const HostStatus& status) {
  auto instructions = callbacks_.host_status(status);
  if (!instructions) return respond(id, 400);
  respond(id, 200, codec::pack(to_wire(*instructions)));
}

void Collector::respond(http::Server::ConnectionId id, int status, std::string body) {
  server_.respond(id, {status, std::move(body), 0, false});
}

}  // namespace corkmux::scale_test
