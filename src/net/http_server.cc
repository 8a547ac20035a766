#include "http_server.h"

#include <errno.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <iterator>
#include <stdexcept>

#include "http_parser.h"
#include "net_constants.h"
#include "traffic.h"

namespace corkmux::http {

struct Server::Connection {
  Connection(ConnectionId connection_id, int descriptor)
      : id(connection_id), fd(descriptor), parser(Parser::Mode::Request, constants::kMaxRequestBody) {}
  ConnectionId id;
  Fd fd;
  Parser parser;
  std::unique_ptr<IoWatcher> io;
  std::string out;
  std::size_t offset = 0;           // bytes of `out` that have been sent
  std::string waiting;              // received while a request is served
  std::size_t received = 0;         // bytes of the request that is being read
  TrafficCount* traffic = nullptr;  // of the request that is being served
  bool serving = false;
  bool closing = false;
  bool keep_alive = true;
  bool chunked = false;
  double last_used = steady_now();
};

Server::Server(Loop& loop, const std::string& address, std::size_t max_connections, Handler handler)
    : loop_(loop),
      transport_(loop.runtime() ? &loop.runtime()->transport() : nullptr),
      max_connections_(max_connections),
      handler_(std::move(handler)),
      idle_timer_(loop) {
  if (!transport_) {
    listen(address);
    return;
  }
  port_ = transport_->listen(address, [this](Request request, Transport::Answer answer) {
    auto id = next_id_++;
    transported_.emplace(id, std::move(answer));
    handler_(id, std::move(request));
  });
}

Server::~Server() {
  if (transport_ && port_) transport_->unlisten(port_);
}

void Server::listen(const std::string& address) {
  listener_.emplace(open_socket());
  auto socket_address = parse_address(address);
  int yes = 1;
  ::setsockopt(listener_->get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (::bind(listener_->get(), reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) != 0 ||
      ::listen(listener_->get(), constants::kListenBacklog) != 0)
    throw std::runtime_error("cannot listen on " + address + ": " + std::strerror(errno));
  socklen_t size = sizeof socket_address;
  ::getsockname(listener_->get(), reinterpret_cast<sockaddr*>(&socket_address), &size);
  port_ = ntohs(socket_address.sin_port);
  accept_io_ = std::make_unique<IoWatcher>(loop_, listener_->get(), [this](int) { on_acceptable(); });
  accept_io_->set_events(EV_READ);
  idle_timer_.every(constants::kIdleConnection / 4, [this] { drop_idle(); });
}

void Server::close() {
  closing_ = true;
  if (transport_ && port_) transport_->unlisten(std::exchange(port_, 0));
  accept_io_.reset();
  listener_.reset();
}

bool Server::busy() const {
  if (!transported_.empty()) return true;
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& entry) {
    const Connection& connection = *entry.second;
    return !connection.chunked && (connection.serving || connection.offset < connection.out.size());
  });
}

void Server::on_acceptable() {
  for (int i = 0; i < constants::kAcceptsPerWakeup; ++i) {
    int descriptor = ::accept4(listener_->get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) return;
    if (ensure_capacity())
      add_connection(descriptor);
    else
      ::close(descriptor);
  }
}

bool Server::ensure_capacity() {
  // Bounds memory and sockets in a reconnect storm: at the limit, the longest idle connection is dropped.
  if (connections_.size() < max_connections_) return true;
  const Connection* oldest = nullptr;
  for (const auto& [id, connection] : connections_) {
    if (connection->serving) continue;
    if (!oldest || connection->last_used < oldest->last_used) oldest = connection.get();
  }
  if (!oldest) return false;
  drop(oldest->id);
  return true;
}

void Server::add_connection(int descriptor) {
  disable_delay(descriptor);
  auto id = next_id_++;
  auto connection = std::make_unique<Connection>(id, descriptor);
  connection->io =
      std::make_unique<IoWatcher>(loop_, descriptor, [this, id](int events) { on_ready(id, events); });
  connection->io->set_events(EV_READ);
  connections_.emplace(id, std::move(connection));
}

Server::Connection* Server::find(ConnectionId id) const {
  auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : it->second.get();
}

void Server::on_ready(ConnectionId id, int events) {
  Connection* connection = find(id);
  if (!connection) return;
  if (events & EV_WRITE) {
    flush(*connection);
    if (!find(id)) return;
  }
  if (events & EV_READ) on_readable(*connection);
}

void Server::on_readable(Connection& connection) {
  std::string bytes;
  switch (read_some(connection.fd.get(), bytes)) {
    case IoStatus::Blocked:
      return;
    case IoStatus::Closed:
      return drop(connection.id);
    case IoStatus::Done:
      break;
  }
  connection.last_used = steady_now();
  if (!connection.serving) return advance(connection, bytes);
  // Clients are not expected to pipeline; a bounded number of early bytes is buffered nevertheless.
  if (connection.waiting.size() + bytes.size() > constants::kMaxRequestBody) return drop(connection.id);
  connection.waiting += bytes;
}

void Server::advance(Connection& connection, std::string_view bytes) {
  connection.received += bytes.size();
  switch (connection.parser.feed(bytes)) {
    case Parser::State::NeedMore:
      return;
    case Parser::State::Bad:
      connection.serving = true;
      connection.closing = true;
      return respond(connection.id, {connection.parser.error_status(), "", 0, true});
    case Parser::State::Done:
      return serve(connection);
  }
}

void Server::serve(Connection& connection) {
  Parser& parser = connection.parser;
  connection.serving = true;
  connection.keep_alive = parser.keep_alive;
  Request request;
  request.method = std::move(parser.method);
  request.target = std::move(parser.target);
  request.body = std::move(parser.body);
  request.keep_alive = parser.keep_alive;
  request.content_type = std::move(parser.content_type);
  request.accept = std::move(parser.accept);
  request.authorization = std::move(parser.authorization);
  parser.reset();
  connection.traffic = &Traffic::of_process().kind(Traffic::Side::Served, request.method, request.target);
  ++connection.traffic->messages;
  connection.traffic->bytes_in += std::exchange(connection.received, 0);
  handle(connection.id, std::move(request));
}

/// Answers a request whose handler fails with 500, so that its sender need not wait for a timeout.
void Server::handle(ConnectionId id, Request request) {
  try {
    handler_(id, std::move(request));
  } catch (const std::exception& error) {
    spdlog::error("unexpected error in the handler of a request, answered 500: {}", error.what());
    respond(id, {500, "", 0, true});
  }
}

void Server::respond(ConnectionId id, const Response& response) {
  if (auto transported = transported_.extract(id)) return transported.mapped()(response);
  Connection* connection = find(id);
  if (!connection) return;
  if (response.close || !connection->keep_alive || closing_) connection->closing = true;
  auto bytes = serialize(response, !connection->closing);
  if (connection->traffic) connection->traffic->bytes_out += bytes.size();
  connection->out += bytes;
  connection->serving = false;
  connection->last_used = steady_now();
  flush(*connection);
  connection = find(id);
  if (!connection || connection->closing || connection->waiting.empty()) return;
  std::string more = std::exchange(connection->waiting, {});
  advance(*connection, more);
}

void Server::begin(ConnectionId id, const Response& head) {
  Connection* connection = find(id);
  if (!connection) return;
  connection->chunked = true;
  connection->out += serialize(head, false, true);
  flush(*connection);
}

bool Server::send_chunk(ConnectionId id, std::string_view bytes) {
  Connection* connection = find(id);
  if (!connection) return false;
  if (bytes.empty()) return true;  // an empty chunk would end the response
  char size[20];
  auto* end = std::to_chars(size, size + sizeof size, bytes.size(), 16).ptr;
  connection->out.append(size, end).append("\r\n").append(bytes).append("\r\n");
  flush(*connection);
  return connected(id);
}

void Server::end(ConnectionId id) {
  Connection* connection = find(id);
  if (!connection) return;
  connection->out += "0\r\n\r\n";
  connection->serving = false;
  connection->chunked = false;
  connection->closing = true;
  connection->last_used = steady_now();
  flush(*connection);
}

std::size_t Server::unsent(ConnectionId id) const {
  const Connection* connection = find(id);
  return connection ? connection->out.size() - connection->offset : 0;
}

void Server::flush(Connection& connection) {
  switch (write_some(connection.fd.get(), connection.out, connection.offset)) {
    case IoStatus::Closed:
      return drop(connection.id);
    case IoStatus::Blocked:
      return connection.io->set_events(EV_READ | EV_WRITE);
    case IoStatus::Done:
      if (connection.closing && !connection.serving) return drop(connection.id);
      connection.io->set_events(EV_READ);
  }
}

void Server::drop(ConnectionId id) { connections_.erase(id); }

void Server::drop_idle() {
  double now = steady_now();
  std::erase_if(connections_, [now](const auto& entry) {
    const Connection& connection = *entry.second;
    return !connection.chunked && now - connection.last_used > constants::kIdleConnection;
  });
}

}  // namespace corkmux::http
