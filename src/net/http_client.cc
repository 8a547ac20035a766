#include "http_client.h"

#include <errno.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "http_parser.h"
#include "net_constants.h"
#include "socket.h"

namespace corkmux::http {

struct Client::Connection {
  explicit Connection(int descriptor)
      : fd(descriptor), parser(Parser::Mode::Response, constants::kMaxResponseBody) {}
  Fd fd;
  Parser parser;
  std::unique_ptr<IoWatcher> io;
  PendingRequest pending;
  std::size_t offset = 0;  // bytes of the request that have been sent
  bool connecting = true;
};

Client::Client(Loop& loop, std::string address, std::size_t max_connections, std::size_t max_queue)
    : loop_(loop),
      address_(std::move(address)),
      max_connections_(max_connections),
      max_queue_(max_queue),
      transport_(loop.runtime() ? &loop.runtime()->transport() : nullptr),
      deadline_timer_(loop) {
  parse_address(address_);
}

Client::~Client() { *alive_ = false; }

void Client::request(std::string method, std::string target, std::string body, double timeout_s,
                     Callback done) {
  if (observer_)
    done = [observer = observer_, done = std::move(done)](Result result) {
      observer(result);
      done(std::move(result));
    };
  if (queue_.size() >= max_queue_) {
    loop_.post([done = std::move(done)] { done(Result::not_sent("the request queue is full")); });
    return;
  }
  PendingRequest pending;
  if (transport_) {
    pending.request.method = std::move(method);
    pending.request.target = std::move(target);
    pending.request.body = std::move(body);
  } else {
    pending = serialize(method, target, body);
  }
  pending.deadline = steady_now() + timeout_s;
  pending.done = std::move(done);
  queue_.push_back(std::move(pending));
  if (transport_)
    pump_transport();
  else
    pump();
  arm_deadline_timer();
}

Client::PendingRequest Client::serialize(const std::string& method, const std::string& target,
                                         const std::string& body) const {
  PendingRequest pending;
  pending.bytes = method + " " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n";
  if (!body.empty() || method == "POST")
    pending.bytes +=
        "Content-Type: application/msgpack\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  pending.bytes += "\r\n" + body;
  pending.traffic = &Traffic::of_process().kind(Traffic::Side::Sent, method, target);
  ++pending.traffic->messages;
  pending.traffic->bytes_out += pending.bytes.size();
  return pending;
}

Client::PendingRequest Client::take_from_queue() {
  PendingRequest pending = std::move(queue_.front());
  queue_.pop_front();
  return pending;
}

void Client::pump_transport() {
  while (!queue_.empty() && transported_.size() < max_connections_) {
    auto id = next_transported_++;
    PendingRequest& pending = transported_[id] = take_from_queue();
    bool open = transported_idle_ > 0;
    if (open) --transported_idle_;
    auto on_result = [this, id, alive = alive_](Result result) {
      if (*alive) on_transported(id, std::move(result));
    };
    pending.sent = transport_->send(address_, std::move(pending.request), open, std::move(on_result));
  }
}

void Client::on_transported(std::uint64_t id, Result result) {
  auto call = transported_.extract(id);
  if (!call) return;  // its deadline has passed
  if (result.status != 0) ++transported_idle_;
  auto alive = alive_;
  call.mapped().done(std::move(result));
  if (*alive) pump_transport();
}

void Client::pump() {
  while (!queue_.empty()) {
    if (!idle_.empty()) {
      active_.splice(active_.begin(), idle_, idle_.begin());
      start(*active_.front(), take_from_queue());
    } else if (active_.size() < max_connections_) {
      open_connection(take_from_queue());
    } else {
      return;
    }
  }
}

void Client::open_connection(PendingRequest pending) {
  int descriptor = open_socket();
  if (descriptor < 0) return fail_later(std::move(pending), errno);
  auto connection = std::make_unique<Connection>(descriptor);
  disable_delay(descriptor);
  auto address = parse_address(address_);
  if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS)
    return fail_later(std::move(pending), errno);
  connection->io = std::make_unique<IoWatcher>(
      loop_, descriptor, [this, raw = connection.get()](int events) { on_ready(raw, events); });
  connection->pending = std::move(pending);
  connection->io->set_events(EV_READ | EV_WRITE);
  active_.push_front(std::move(connection));
}

void Client::fail_later(PendingRequest pending, int error_number) {
  loop_.post([done = std::move(pending.done), why = std::string(std::strerror(error_number))] {
    done(Result::not_sent(why));
  });
}

void Client::start(Connection& connection, PendingRequest pending) {
  connection.pending = std::move(pending);
  connection.offset = 0;
  connection.parser.reset();
  auto status = write_some(connection.fd.get(), connection.pending.bytes, connection.offset);
  bool written = status == IoStatus::Done && connection.pending.bytes.empty();
  connection.io->set_events(written ? EV_READ : EV_READ | EV_WRITE);
}

void Client::on_ready(Connection* connection, int events) {
  if (connection->connecting && !finish_connecting(connection, events)) return;
  // An idle connection received unexpected bytes or was closed by the peer, so it cannot be reused.
  if (!connection->pending.done) return remove_idle(connection);
  if (!connection->pending.bytes.empty() && !write_request(connection)) return;
  if (events & EV_READ) read_response(connection);
}

bool Client::finish_connecting(Connection* connection, int events) {
  int error_number = 0;
  socklen_t size = sizeof error_number;
  ::getsockopt(connection->fd.get(), SOL_SOCKET, SO_ERROR, &error_number, &size);
  if (error_number) {
    complete(connection, Result::not_sent(std::strerror(error_number)), false);
    return false;
  }
  if (!(events & EV_WRITE)) return false;
  connection->connecting = false;
  return true;
}

bool Client::write_request(Connection* connection) {
  switch (write_some(connection->fd.get(), connection->pending.bytes, connection->offset)) {
    case IoStatus::Closed:
      fail(connection, "the connection was closed");
      return false;
    case IoStatus::Blocked:
      break;
    case IoStatus::Done:
      connection->io->set_events(EV_READ);
  }
  return true;
}

void Client::read_response(Connection* connection) {
  std::string bytes;
  switch (read_some(connection->fd.get(), bytes)) {
    case IoStatus::Blocked:
      return;
    case IoStatus::Closed:
      return on_peer_closed(connection);
    case IoStatus::Done:
      break;
  }
  connection->pending.traffic->bytes_in += bytes.size();
  Parser& parser = connection->parser;
  switch (parser.feed(bytes)) {
    case Parser::State::NeedMore:
      return;
    case Parser::State::Bad:
      return fail(connection, "invalid HTTP response");
    case Parser::State::Done:
      return complete(connection, Result::response(parser.status, std::move(parser.body)), parser.keep_alive);
  }
}

void Client::on_peer_closed(Connection* connection) {
  Parser& parser = connection->parser;
  if (parser.finish() != Parser::State::Done) return fail(connection, "the connection was closed");
  complete(connection, Result::response(parser.status, std::move(parser.body)), false);
}

void Client::remove_idle(const Connection* connection) {
  auto it = std::find_if(idle_.begin(), idle_.end(),
                         [connection](const auto& other) { return other.get() == connection; });
  if (it != idle_.end()) idle_.erase(it);
}

void Client::fail(Connection* connection, const char* why) {
  complete(connection, Result::unanswered(why), false);
}

void Client::complete(Connection* connection, Result result, bool reusable) {
  auto it = std::find_if(active_.begin(), active_.end(),
                         [connection](const auto& other) { return other.get() == connection; });
  if (it == active_.end()) return;
  Callback done = std::move(connection->pending.done);
  connection->pending = {};
  connection->io->set_events(reusable ? EV_READ : 0);
  if (reusable) {
    connection->parser.reset();
    idle_.splice(idle_.begin(), active_, it);
  } else {
    // The connection is freed in a later turn, since the callback of its watcher may be running.
    std::shared_ptr<Connection> ended(std::move(*it));
    active_.erase(it);
    loop_.post([ended] {});
  }
  auto alive = alive_;
  if (done) done(std::move(result));
  if (*alive) pump();
}

std::vector<Client::PendingRequest> Client::take_expired_queued(double now) {
  std::vector<PendingRequest> expired;
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->deadline > now) {
      ++it;
      continue;
    }
    expired.push_back(std::move(*it));
    it = queue_.erase(it);
  }
  return expired;
}

std::vector<Client::PendingRequest> Client::take_expired_transported(double now) {
  std::vector<PendingRequest> expired;
  for (auto it = transported_.begin(); it != transported_.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    expired.push_back(std::move(it->second));
    it = transported_.erase(it);
  }
  return expired;
}

std::vector<Client::Connection*> Client::expired_connections(double now) const {
  std::vector<Connection*> expired;
  for (const auto& connection : active_)
    if (connection->pending.deadline <= now) expired.push_back(connection.get());
  return expired;
}

void Client::check_deadlines() {
  double now = steady_now();
  auto expired_queued = take_expired_queued(now);
  auto expired_transported = take_expired_transported(now);
  auto expired_active = expired_connections(now);
  auto alive = alive_;  // false once a callback has destroyed the client
  for (auto* connection : expired_active) {
    complete(connection,
             connection->connecting ? Result::not_sent("no connection in time")
                                    : Result::unanswered("no answer in time"),
             false);
    if (!*alive) return;
  }
  for (auto& pending : expired_transported) {
    pending.done(pending.sent ? Result::unanswered("no answer in time")
                              : Result::not_sent("no connection in time"));
    if (!*alive) return;
  }
  for (auto& pending : expired_queued) {
    pending.done(Result::not_sent("no free connection in time"));
    if (!*alive) return;
  }
  if (!expired_transported.empty()) pump_transport();
  if (*alive) arm_deadline_timer();
}

double Client::next_deadline() const {
  double next = 0;
  auto consider = [&next](double deadline) {
    if (!next || deadline < next) next = deadline;
  };
  for (const auto& connection : active_) consider(connection->pending.deadline);
  for (const auto& pending : queue_) consider(pending.deadline);
  for (const auto& entry : transported_) consider(entry.second.deadline);
  return next;
}

void Client::arm_deadline_timer() {
  double next = next_deadline();
  if (!next) return;
  if (deadline_timer_.active() && armed_for_ <= next) return;
  armed_for_ = next;
  deadline_timer_.once(next - steady_now(), [this] { check_deadlines(); });
}

}  // namespace corkmux::http
