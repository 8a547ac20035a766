// An HTTP/1.1 server on libev, or on the transport of a simulated host. Serves the requests of one
// connection one after the other, without pipelining. The number of connections is bounded.
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
  /// Binds at once; throws std::runtime_error if the address cannot be bound.
  Server(Loop& loop, const std::string& address, std::size_t max_connections, Handler handler);
  ~Server();
  void respond(ConnectionId id, const Response& response);
  /// Starts a chunked response: begin(), any number of send_chunk(), then end(), which closes the connection.
  void begin(ConnectionId id, const Response& head);
  /// Sends one chunk. Returns false if the client has disconnected.
  bool send_chunk(ConnectionId id, std::string_view bytes);
  void end(ConnectionId id);
  bool connected(ConnectionId id) const { return connections_.contains(id) || transported_.contains(id); }
  /// Bytes of the response that the socket has not accepted yet.
  std::size_t unsent(ConnectionId id) const;
  /// Accepts no new connections; open ones close with their next response.
  void close();
  /// Whether a request is unanswered or a response is not fully sent; chunked responses are not counted.
  bool busy() const;
  int port() const { return port_; }
  std::size_t connections() const { return connections_.size() + transported_.size(); }

 private:
  struct Connection;
  void listen(const std::string& address);
  void on_acceptable();
  /// Returns whether one more connection is allowed, after dropping the longest idle one if necessary.
  bool ensure_capacity();
  void add_connection(int descriptor);
  void on_ready(ConnectionId id, int events);
  void on_readable(Connection& connection);
  /// Feeds received bytes to the parser, and serves the request if it is complete.
  void advance(Connection& connection, std::string_view bytes);
  void serve(Connection& connection);
  void handle(ConnectionId id, Request request);
  void flush(Connection& connection);
  Connection* find(ConnectionId id) const;
  void drop(ConnectionId id);
  void drop_idle();

  Loop& loop_;
  Transport* transport_;  // null: sockets are used. Chunked responses need sockets.
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
