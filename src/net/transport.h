// How requests travel where there are no sockets: whole, between the hosts of a simulation.
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
  /// Sends the response to the request that came with it.
  using Answer = std::function<void(const Response&)>;
  using Accept = std::function<void(Request, Answer)>;
  using Done = std::function<void(Result)>;
  virtual ~Transport() = default;
  /// Requests to `address` (host:port; port 0: any) reach `accept` from now on. Returns the port.
  virtual int listen(const std::string& address, Accept accept) = 0;
  virtual void unlisten(int port) = 0;
  /// `open`: the caller has a connection there already. `done` is called at most once, also long after the
  /// caller gave up. Returns whether the request leaves this host; if not, it runs into its deadline.
  virtual bool send(const std::string& address, Request request, bool open, Done done) = 0;
};

}  // namespace corkmux::http
