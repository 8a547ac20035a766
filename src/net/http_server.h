// An HTTP/1.1 server on libev, or on the transport of a simulated host. Requests of one connection are served
// one after the other, never pipelined; the number of connections is bounded.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "event_loop.h"
#include "http_message.h"
#include "socket.h"
#include "transport.h"

namespace corkmux::http {

class Server {
 public:
  using ConnectionId = std::uint64_t;
  using Handler = std::function<void(ConnectionId, Request)>;
  /// Binds at once; throws std::runtime_error when the address cannot be had.
  Server(Loop& loop, const std::string& address, std::size_t max_connections, Handler handler);
  ~Server();
  void respond(ConnectionId id, const Response& response);
  /// A chunked response: its head, then any number of parts, then its end, with which the connection closes.
  void begin(ConnectionId id, const Response& head);
  /// false: the caller is gone.
  bool part(ConnectionId id, std::string_view bytes);
  void end(ConnectionId id);
  bool connected(ConnectionId id) const { return connections_.contains(id) || transported_.contains(id); }
  /// Bytes of its response that the caller has not taken yet.
  std::size_t unsent(ConnectionId id) const;
  /// Takes no new connections; open ones close with their next response.
  void close();
  /// Whether a request waits for its response, or a response to be sent; chunked ones not counted.
  bool busy() const;
  int port() const { return port_; }
  std::size_t connections() const { return connections_.size() + transported_.size(); }

 private:
  struct Connection;
  void listen(const std::string& address);
  void on_acceptable();
  /// Whether there is room for one more connection, after dropping the longest idle one if need be.
  bool ensure_capacity();
  void add_connection(int descriptor);
  void on_ready(ConnectionId id, int events);
  void on_readable(Connection& connection);
  /// Feeds bytes of the caller to the parser, and serves the request if it is complete.
  void advance(Connection& connection, std::string_view bytes);
  void serve(Connection& connection);
  void flush(Connection& connection);
  Connection* find(ConnectionId id) const;
  void drop(ConnectionId id);
  void drop_idle();

  Loop& loop_;
  Transport* transport_;  // null: sockets. Chunked responses are for sockets only.
  std::unordered_map<ConnectionId, Transport::Answer> transported_;
  std::size_t max_connections_;
  Handler handler_;
  std::optional<Fd> listener_;
  bool closing_ = false;
  int port_ = 0;
  std::unique_ptr<IoWatcher> accept_io_;
  Timer idle_timer_;
  ConnectionId next_id_ = 1;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
};

}  // namespace corkmux::http
