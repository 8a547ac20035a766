// A pooled HTTP/1.1 client of one address, on libev or on the transport of a simulated host. Connections and
// queue are bounded, and each request has a deadline. Requests are neither pipelined nor retried.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event_loop.h"
#include "http_message.h"
#include "traffic.h"
#include "transport.h"

namespace corkmux::http {

class Client {
 public:
  using Callback = std::function<void(Result)>;
  using Observer = std::function<void(const Result&)>;
  /// Throws std::runtime_error if `address` is not an IPv4 address with a port.
  Client(Loop& loop, std::string address, std::size_t max_connections, std::size_t max_queue);
  ~Client();
  /// Calls `done` exactly once, in a later turn of the loop, unless the client is destroyed first.
  void request(std::string method, std::string target, std::string body, double timeout_s, Callback done);
  /// Sets an observer, which receives the result of each request before the request's callback does.
  void observe(Observer observer) { observer_ = std::move(observer); }
  const std::string& address() const { return address_; }
  bool busy() const { return !active_.empty() || !queue_.empty() || !transported_.empty(); }

 private:
  struct PendingRequest {
    std::string bytes;
    double deadline = 0;  // s of the steady clock
    Callback done;
    Request request = {};  // used instead of `bytes` with a transport
    bool sent = false;     // set with a transport only
    TrafficCount* traffic = nullptr;
  };
  struct Connection;
  using Connections = std::list<std::unique_ptr<Connection>>;

  PendingRequest serialize(const std::string& method, const std::string& target,
                           const std::string& body) const;
  PendingRequest take_from_queue();
  /// Starts queued requests while a connection is idle or a new one may be opened.
  void pump();
  /// The same as pump(), on the transport.
  void pump_transport();
  void on_transported(std::uint64_t id, Result result);
  void open_connection(PendingRequest pending);
  void fail_later(PendingRequest pending, int error_number);
  void start(Connection& connection, PendingRequest pending);

  void on_ready(Connection* connection, int events);
  /// Returns whether the connection is established. If connecting failed, fails its request.
  bool finish_connecting(Connection* connection, int events);
  /// Returns whether the connection is still usable.
  bool write_request(Connection* connection);
  void read_response(Connection* connection);
  void on_peer_closed(Connection* connection);
  void remove_idle(const Connection* connection);
  void complete(Connection* connection, Result result, bool reusable);
  void fail(Connection* connection, const char* why);

  void check_deadlines();
  std::vector<PendingRequest> take_expired_queued(double now);
  std::vector<PendingRequest> take_expired_transported(double now);
  std::vector<Connection*> expired_connections(double now) const;
  double next_deadline() const;
  void arm_deadline_timer();

  Loop& loop_;
  std::string address_;
  std::size_t max_connections_;
  std::size_t max_queue_;
  Observer observer_;
  std::list<PendingRequest> queue_;
  Connections active_;
  Connections idle_;
  Transport* transport_;  // null: sockets are used
  std::map<std::uint64_t, PendingRequest> transported_;
  std::uint64_t next_transported_ = 1;
  std::size_t transported_idle_ = 0;  // open connections of the transport that are not in use
  Timer deadline_timer_;
  double armed_for_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once the client is destroyed
};

}  // namespace corkmux::http
