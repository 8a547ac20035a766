// The interface that carries whole requests between the hosts of a simulation, instead of sockets.
#pragma once
#include <functional>
#include <string>

#include "event_loop.h"

namespace corkmux::http {

struct Request;
struct Response;
struct Result;

class Transport {
 public:
  /// Sends the response to the request that it was passed with.
  using Answer = std::function<void(const Response&)>;
  using Accept = std::function<void(Request, Answer)>;
  using Done = std::function<void(Result)>;
  virtual ~Transport() = default;
  /// Passes requests to `address` (host:port; port 0: any) to `accept` from now on. Returns the port.
  virtual int listen(const std::string& address, Accept accept) = 0;
  virtual void unlisten(int port) = 0;
  /// `open`: the client already has a connection to the address. Calls `done` at most once, possibly long
  /// after the client's deadline. Returns whether the request left this host; if not, it fails at its
  /// deadline.
  virtual bool send(const std::string& address, Request request, bool open, Done done) = 0;
};

}  // namespace corkmux::http
