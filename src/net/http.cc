#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <stdexcept>

#include "net_constants.h"

namespace corkmux::http {
namespace {

bool equal_nocase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
         });
}
std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}
template <typename T>
bool parse_number(std::string_view s, T& out, int base = 10) {
  if (s.empty()) return false;
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), out, base);
  return error == std::errc() && end == s.data() + s.size();
}

sockaddr_in parse_address(const std::string& address) {
  auto colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  int port = -1;
  if (colon == std::string::npos || !parse_number(std::string_view(address).substr(colon + 1), port) ||
      port < 0 || port > 65535 || inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address with a port: '" + address + "'");
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  return out;
}

const char* phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    default:
      return status >= 500 ? "Service Unavailable" : "Status";
  }
}

enum class Io1 { Some, Blocked, Closed };
Io1 read_some(int fd, std::string& into) {
  char chunk[constants::kReadChunk];
  ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
  if (n > 0) {
    into.assign(chunk, static_cast<std::size_t>(n));
    return Io1::Some;
  }
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return Io1::Blocked;
  return Io1::Closed;
}
Io1 write_some(int fd, std::string& out, std::size_t& offset) {
  while (offset < out.size()) {
    ssize_t n = ::send(fd, out.data() + offset, out.size() - offset, MSG_NOSIGNAL);
    if (n > 0) {
      offset += static_cast<std::size_t>(n);
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
      return Io1::Blocked;
    } else {
      return Io1::Closed;
    }
  }
  out.clear();
  offset = 0;
  return Io1::Some;
}

}  // namespace

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

Parser::State Parser::bad(int status) {
  error_ = status;
  stage_ = Stage::Bad;
  return State::Bad;
}

void Parser::reset() {
  stage_ = Stage::Head;
  scanned_ = length_ = 0;
  method.clear(), target.clear(), body.clear(), content_type.clear(), accept.clear(), authorization.clear();
  status = 0;
  keep_alive = true;
}

bool Parser::parse_head(std::string_view head) {
  auto next_line = [&head]() {
    auto end = head.find("\r\n");
    auto line = head.substr(0, end);
    head.remove_prefix(end == std::string_view::npos ? head.size() : end + 2);
    return line;
  };
  auto first = next_line();
  auto space = first.find(' ');
  if (space == std::string_view::npos) return bad(400), false;
  std::string_view version;
  if (mode_ == Mode::Request) {
    auto second = first.find(' ', space + 1);
    if (second == std::string_view::npos) return bad(400), false;
    method = first.substr(0, space);
    target = first.substr(space + 1, second - space - 1);
    version = first.substr(second + 1);
    if (method.empty() || target.empty() || target[0] != '/') return bad(400), false;
    for (char c : method)
      if (c < 'A' || c > 'Z') return bad(400), false;
    for (unsigned char c : target)
      if (c <= ' ' || c >= 127) return bad(400), false;
  } else {
    version = first.substr(0, space);
    auto code = first.substr(space + 1, 3);
    if (!parse_number(code, status) || status < 100) return bad(400), false;
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return bad(400), false;
  keep_alive = version == "HTTP/1.1";
  bool has_length = false, chunked = false;
  while (!head.empty()) {
    auto line = next_line();
    auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return bad(400), false;
    auto name = line.substr(0, colon), value = trim(line.substr(colon + 1));
    for (unsigned char c : name)
      if (c <= ' ' || c >= 127) return bad(400), false;
    if (equal_nocase(name, "content-length")) {
      std::size_t length = 0;
      if (!parse_number(value, length) || (has_length && length != length_)) return bad(400), false;
      has_length = true;
      length_ = length;
    } else if (equal_nocase(name, "transfer-encoding")) {
      if (!equal_nocase(value, "chunked")) return bad(501), false;
      chunked = true;
    } else if (equal_nocase(name, "connection")) {
      if (equal_nocase(value, "close")) keep_alive = false;
      if (equal_nocase(value, "keep-alive")) keep_alive = true;
    } else if (equal_nocase(name, "content-type")) {
      content_type = value;
    } else if (equal_nocase(name, "accept")) {
      accept = value;
    } else if (equal_nocase(name, "authorization")) {
      authorization = value;
    }
  }
  // Guards against smuggling: two ways to tell one length would let two readers disagree.
  if (has_length && chunked) return bad(400), false;
  if (has_length && length_ > max_body_) return bad(413), false;
  if (chunked) {
    stage_ = Stage::ChunkSize;
  } else if (has_length) {
    stage_ = Stage::Body;
  } else if (mode_ == Mode::Request || status == 204 || status == 304) {
    length_ = 0;
    stage_ = Stage::Body;
  } else {
    keep_alive = false;
    stage_ = Stage::UntilClose;
  }
  return true;
}

Parser::State Parser::feed(std::string_view bytes) {
  if (stage_ == Stage::Bad) return State::Bad;
  buffer_.append(bytes);
  for (;;) {
    switch (stage_) {
      case Stage::Head: {
        // Blank lines before a request are tolerated, as RFC 9112 asks.
        std::size_t skip = 0;
        while (scanned_ == 0 && buffer_.compare(skip, 2, "\r\n") == 0) skip += 2;
        buffer_.erase(0, skip);
        auto end = buffer_.find("\r\n\r\n", scanned_ > 3 ? scanned_ - 3 : 0);
        if ((end == std::string::npos ? buffer_.size() : end) > constants::kMaxHeaderBytes) return bad(431);
        if (end == std::string::npos) {
          scanned_ = buffer_.size();
          return State::NeedMore;
        }
        std::string head = buffer_.substr(0, end);
        buffer_.erase(0, end + 4);
        scanned_ = 0;
        if (!parse_head(head)) return State::Bad;
        break;
      }
      case Stage::Body:
        if (buffer_.size() < length_) return State::NeedMore;
        body = buffer_.substr(0, length_);
        buffer_.erase(0, length_);
        stage_ = Stage::Done;
        break;
      case Stage::ChunkSize: {
        auto end = buffer_.find("\r\n");
        if (end == std::string::npos) return buffer_.size() > 64 ? bad(400) : State::NeedMore;
        auto line = std::string_view(buffer_).substr(0, end);
        if (!parse_number(trim(line.substr(0, line.find(';'))), length_, 16)) return bad(400);
        buffer_.erase(0, end + 2);
        if (length_ > max_body_ || body.size() + length_ > max_body_) return bad(413);
        stage_ = length_ ? Stage::ChunkData : Stage::Trailer;
        break;
      }
      case Stage::ChunkData:
        if (buffer_.size() < length_ + 2) return State::NeedMore;
        if (buffer_.compare(length_, 2, "\r\n") != 0) return bad(400);
        body.append(buffer_, 0, length_);
        buffer_.erase(0, length_ + 2);
        stage_ = Stage::ChunkSize;
        break;
      case Stage::Trailer: {
        auto end = buffer_.find("\r\n");
        if (end == std::string::npos)
          return buffer_.size() > constants::kMaxHeaderBytes ? bad(431) : State::NeedMore;
        bool last = end == 0;
        buffer_.erase(0, end + 2);
        if (last) stage_ = Stage::Done;
        break;
      }
      case Stage::UntilClose:
        if (body.size() + buffer_.size() > max_body_) return bad(413);
        body += buffer_;
        buffer_.clear();
        return State::NeedMore;
      case Stage::Done:
        return State::Done;
      default:
        return State::Bad;
    }
  }
}

Parser::State Parser::finish() {
  if (stage_ == Stage::UntilClose) stage_ = Stage::Done;
  return stage_ == Stage::Done ? State::Done : State::Bad;
}

std::string serialize(const Response& r, bool keep_alive, bool in_parts) {
  std::string out = "HTTP/1.1 " + std::to_string(r.status) + " " + phrase(r.status) + "\r\n";
  out += std::string("Content-Type: ") + r.content_type + "\r\n";
  out += in_parts ? "Transfer-Encoding: chunked\r\n"
                  : "Content-Length: " + std::to_string(r.body.size()) + "\r\n";
  for (const auto& w : r.warnings) {
    out += "Warning: 299 - \"";
    for (char c : w)
      if (c >= ' ' && c < 127) out += (c == '"' || c == '\\') ? "'" : std::string(1, c);
    out += "\"\r\n";
  }
  if (r.retry_after_s > 0) out += "Retry-After: " + std::to_string(r.retry_after_s) + "\r\n";
  if (!keep_alive) out += "Connection: close\r\n";
  out += "\r\n";
  out += r.body;
  return out;
}

struct Server::Connection {
  Connection(ConnectionId connection_id, int raw)
      : id(connection_id), fd(raw), parser(Parser::Mode::Request, constants::kMaxRequestBody) {}
  ConnectionId id;
  Fd fd;
  Parser parser;
  std::unique_ptr<IoWatcher> io;
  std::string out, waiting;
  std::size_t offset = 0, received = 0;  // bytes: sent of `out`; of the request that is being read
  TrafficCount* traffic = nullptr;       // of the request that is being served
  bool serving = false, closing = false, keep = true, in_parts = false;
  double last = steady_now();
};

Server::Server(Loop& loop, const std::string& address, std::size_t max_connections, Handler handler)
    : loop_(loop),
      transport_(loop.runtime() ? &loop.runtime()->transport() : nullptr),
      max_connections_(max_connections),
      handler_(std::move(handler)),
      sweeper_(loop) {
  if (!transport_) {
    listen(address);
    return;
  }
  port_ = transport_->listen(address, [this](Request request, Transport::Answer answer) {
    auto id = next_++;
    transported_.emplace(id, std::move(answer));
    handler_(id, std::move(request));
  });
}
Server::~Server() {
  if (transport_ && port_) transport_->unlisten(port_);
}

void Server::listen(const std::string& address) {
  listener_.emplace(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  auto addr = parse_address(address);
  int yes = 1;
  ::setsockopt(listener_->get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (::bind(listener_->get(), reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 ||
      ::listen(listener_->get(), constants::kListenBacklog) != 0)
    throw std::runtime_error("cannot listen on " + address + ": " + std::strerror(errno));
  socklen_t size = sizeof addr;
  ::getsockname(listener_->get(), reinterpret_cast<sockaddr*>(&addr), &size);
  port_ = ntohs(addr.sin_port);
  accept_io_ = std::make_unique<IoWatcher>(loop_, listener_->get(), [this](int) { accept_ready(); });
  accept_io_->want(EV_READ);
  sweeper_.every(constants::kIdleConnection / 4, [this] { sweep(); });
}

void Server::close() {
  closing_ = true;
  if (transport_ && port_) transport_->unlisten(std::exchange(port_, 0));
  accept_io_.reset();
  listener_.reset();
}

bool Server::busy() const {
  if (!transported_.empty()) return true;
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& e) {
    return !e.second->in_parts && (e.second->serving || e.second->offset < e.second->out.size());
  });
}

void Server::accept_ready() {
  for (int i = 0; i < 32; ++i) {
    int raw = ::accept4(listener_->get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (raw < 0) return;
    // Guards memory and sockets in a reconnect storm: beyond the limit the longest idle caller goes first.
    if (connections_.size() >= max_connections_) {
      ConnectionId oldest = 0;
      double when = 0;
      for (const auto& [id, c] : connections_)
        if (!c->serving && (!oldest || c->last < when)) oldest = id, when = c->last;
      if (!oldest) {
        ::close(raw);
        continue;
      }
      drop(oldest);
    }
    int yes = 1;
    ::setsockopt(raw, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    auto id = next_++;
    auto c = std::make_unique<Connection>(id, raw);
    c->io = std::make_unique<IoWatcher>(loop_, raw, [this, id](int events) { ready(id, events); });
    c->io->want(EV_READ);
    connections_.emplace(id, std::move(c));
  }
}

void Server::ready(ConnectionId id, int events) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection& c = *it->second;
  if (events & EV_WRITE) {
    flush(c);
    if (connections_.find(id) == connections_.end()) return;
  }
  if (!(events & EV_READ)) return;
  std::string bytes;
  switch (read_some(c.fd.get(), bytes)) {
    case Io1::Blocked:
      return;
    case Io1::Closed:
      return drop(id);
    case Io1::Some:
      break;
  }
  c.last = steady_now();
  if (c.serving) {  // nobody pipelines; a bounded amount is kept all the same
    if (c.waiting.size() + bytes.size() > constants::kMaxRequestBody) return drop(id);
    c.waiting += bytes;
    return;
  }
  advance(c, bytes);
}

void Server::advance(Connection& c, std::string_view bytes) {
  auto id = c.id;
  c.received += bytes.size();
  switch (c.parser.feed(bytes)) {
    case Parser::State::NeedMore:
      return;
    case Parser::State::Bad:
      c.serving = c.closing = true;
      return respond(id, {c.parser.error_status(), "", 0, true});
    case Parser::State::Done:
      break;
  }
  c.serving = true;
  c.keep = c.parser.keep_alive;
  Request request{
      std::move(c.parser.method),       std::move(c.parser.target), std::move(c.parser.body),         c.keep,
      std::move(c.parser.content_type), std::move(c.parser.accept), std::move(c.parser.authorization)};
  c.parser.reset();
  c.traffic = &Traffic::of_process().kind(Traffic::Side::Served, request.method, request.target);
  ++c.traffic->messages;
  c.traffic->bytes_in += std::exchange(c.received, 0);
  handler_(id, std::move(request));
}

void Server::respond(ConnectionId id, const Response& response) {
  if (auto transported = transported_.extract(id)) return transported.mapped()(response);
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection& c = *it->second;
  if (response.close || !c.keep || closing_) c.closing = true;
  auto bytes = serialize(response, !c.closing);
  if (c.traffic) c.traffic->bytes_out += bytes.size();
  c.out += bytes;
  c.serving = false;
  c.last = steady_now();
  flush(c);
  it = connections_.find(id);
  if (it == connections_.end() || c.closing || c.waiting.empty()) return;
  std::string more = std::move(c.waiting);
  c.waiting.clear();
  advance(c, more);
}

void Server::begin(ConnectionId id, const Response& head) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  it->second->in_parts = true;
  it->second->out += serialize(head, false, true);
  flush(*it->second);
}

bool Server::part(ConnectionId id, std::string_view bytes) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return false;
  if (bytes.empty()) return true;
  char size[20];
  auto end = std::to_chars(size, size + sizeof size, bytes.size(), 16).ptr;
  Connection& c = *it->second;
  c.out.append(size, end).append("\r\n").append(bytes).append("\r\n");
  flush(c);
  return connected(id);
}

void Server::end(ConnectionId id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection& c = *it->second;
  c.out += "0\r\n\r\n";
  c.serving = c.in_parts = false, c.closing = true;
  c.last = steady_now();
  flush(c);
}

std::size_t Server::unsent(ConnectionId id) const {
  auto it = connections_.find(id);
  return it == connections_.end() ? 0 : it->second->out.size() - it->second->offset;
}

void Server::flush(Connection& c) {
  switch (write_some(c.fd.get(), c.out, c.offset)) {
    case Io1::Closed:
      return drop(c.id);
    case Io1::Blocked:
      return c.io->want(EV_READ | EV_WRITE);
    case Io1::Some:
      if (c.closing && !c.serving) return drop(c.id);
      c.io->want(EV_READ);
  }
}

void Server::drop(ConnectionId id) { connections_.erase(id); }

void Server::sweep() {
  double now = steady_now();
  for (auto it = connections_.begin(); it != connections_.end();)
    it = !it->second->in_parts && now - it->second->last > constants::kIdleConnection ? connections_.erase(it)
                                                                                      : std::next(it);
}

struct Client::Connection {
  explicit Connection(int raw) : fd(raw), parser(Parser::Mode::Response, constants::kMaxResponseBody) {}
  Fd fd;
  Parser parser;
  std::unique_ptr<IoWatcher> io;
  Pending pending;
  std::size_t offset = 0;
  bool connecting = true, reused = false, dead = false;
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
    done = [observer = observer_, done = std::move(done)](Result r) {
      observer(r);
      done(std::move(r));
    };
  if (queue_.size() >= max_queue_) {
    loop_.post([done = std::move(done)] { done({0, "", false, "too many requests wait already"}); });
    return;
  }
  Pending p;
  if (transport_) {
    p.deadline = steady_now() + timeout_s, p.done = std::move(done);
    p.request.method = std::move(method), p.request.target = std::move(target),
    p.request.body = std::move(body);
    queue_.push_back(std::move(p));
    pump_carried();
    return arm();
  }
  p.safe = method == "GET";
  p.bytes = method + " " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n";
  if (!body.empty() || method == "POST")
    p.bytes += "Content-Type: application/msgpack\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  p.bytes += "\r\n" + body;
  p.traffic = &Traffic::of_process().kind(Traffic::Side::Sent, method, target);
  ++p.traffic->messages;
  p.traffic->bytes_out += p.bytes.size();
  p.deadline = steady_now() + timeout_s;
  p.done = std::move(done);
  queue_.push_back(std::move(p));
  pump();
  arm();
}

void Client::pump_carried() {
  while (!queue_.empty() && transported_.size() < max_connections_) {
    auto id = next_carried_++;
    Pending& p = transported_[id] = std::move(queue_.front());
    queue_.pop_front();
    bool open = transported_idle_ > 0;
    transported_idle_ -= open;
    p.sent =
        transport_->send(address_, std::move(p.request), open, [this, id, alive = alive_](Result result) {
          if (!*alive) return;
          auto call = transported_.extract(id);
          if (!call) return;  // given up
          transported_idle_ += result.status != 0;
          call.mapped().done(std::move(result));
          if (*alive) pump_carried();
        });
  }
}

void Client::pump() {
  while (!queue_.empty()) {
    if (!idle_.empty()) {
      active_.splice(active_.begin(), idle_, idle_.begin());
      active_.front()->reused = true;
    } else if (active_.size() < max_connections_) {
      int raw = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      Pending p = std::move(queue_.front());
      queue_.pop_front();
      auto fail_now = [&] {
        loop_.post([done = std::move(p.done), why = std::string(std::strerror(errno))] {
          done({0, "", false, why});
        });
      };
      if (raw < 0) {
        fail_now();
        continue;
      }
      auto c = std::make_unique<Connection>(raw);
      int yes = 1;
      ::setsockopt(raw, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      auto addr = parse_address(address_);
      if (::connect(raw, reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 && errno != EINPROGRESS) {
        fail_now();
        continue;
      }
      Connection* ptr = c.get();
      c->io = std::make_unique<IoWatcher>(loop_, raw, [this, ptr](int events) { ready(ptr, events); });
      c->pending = std::move(p);
      c->io->want(EV_READ | EV_WRITE);
      active_.push_front(std::move(c));
      continue;
    } else {
      return;
    }
    Pending p = std::move(queue_.front());
    queue_.pop_front();
    start(*active_.front(), std::move(p));
  }
}

void Client::start(Connection& c, Pending p) {
  c.pending = std::move(p);
  c.offset = 0;
  c.parser.reset();
  if (write_some(c.fd.get(), c.pending.bytes, c.offset) == Io1::Some && c.pending.bytes.empty())
    c.io->want(EV_READ);
  else
    c.io->want(EV_READ | EV_WRITE);
}

void Client::ready(Connection* c, int events) {
  if (c->connecting) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(c->fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error) return complete(c, {0, "", false, std::strerror(error)}, false);
    if (!(events & EV_WRITE)) return;
    c->connecting = false;
  }
  if (!c->pending.done) {  // an idle connection spoke or closed: of no use any more
    auto it = std::find_if(idle_.begin(), idle_.end(), [c](const auto& p) { return p.get() == c; });
    if (it != idle_.end()) idle_.erase(it);
    return;
  }
  if (!c->pending.bytes.empty()) {
    switch (write_some(c->fd.get(), c->pending.bytes, c->offset)) {
      case Io1::Closed:
        return fail(c, "the connection was closed");
      case Io1::Blocked:
        break;
      case Io1::Some:
        c->io->want(EV_READ);
    }
  }
  if (!(events & EV_READ)) return;
  std::string bytes;
  switch (read_some(c->fd.get(), bytes)) {
    case Io1::Blocked:
      return;
    case Io1::Closed:
      if (c->parser.finish() == Parser::State::Done)
        return complete(c, {c->parser.status, std::move(c->parser.body), true}, false);
      return fail(c, "the connection was closed");
    case Io1::Some:
      break;
  }
  c->pending.traffic->bytes_in += bytes.size();
  switch (c->parser.feed(bytes)) {
    case Parser::State::NeedMore:
      return;
    case Parser::State::Bad:
      return fail(c, "not an HTTP answer that can be taken");
    case Parser::State::Done:
      return complete(c, {c->parser.status, std::move(c->parser.body), true}, c->parser.keep_alive);
  }
}

void Client::fail(Connection* c, const char* why) { complete(c, {0, "", true, why}, false); }

void Client::complete(Connection* c, Result result, bool reusable) {
  auto it = std::find_if(active_.begin(), active_.end(), [c](const auto& p) { return p.get() == c; });
  if (it == active_.end()) return;
  Callback done = std::move(c->pending.done);
  c->pending = {};
  c->io->want(reusable ? EV_READ : 0);
  if (reusable) {
    c->parser.reset();
    idle_.splice(idle_.begin(), active_, it);
  } else {
    // The watcher's own callback may be running: the connection is freed in a later turn.
    std::shared_ptr<Connection> corpse(std::move(*it));
    active_.erase(it);
    loop_.post([corpse] {});
  }
  auto alive = alive_;
  if (done) done(std::move(result));
  if (*alive) pump();
}

void Client::check_deadlines() {
  double now = steady_now();
  std::vector<Callback> late;
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->deadline <= now) {
      late.push_back(std::move(it->done));
      it = queue_.erase(it);
    } else {
      ++it;
    }
  }
  std::vector<Pending> given_up;
  for (auto it = transported_.begin(); it != transported_.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    given_up.push_back(std::move(it->second));
    it = transported_.erase(it);
  }
  std::vector<Connection*> overdue;
  for (auto& c : active_)
    if (c->pending.deadline <= now) overdue.push_back(c.get());
  auto alive = alive_;
  for (auto* c : overdue) {
    complete(c, {0, "", !c->connecting, c->connecting ? "no connection in time" : "no answer in time"},
             false);
    if (!*alive) return;
  }
  for (auto& p : given_up) {
    p.done({0, "", p.sent, p.sent ? "no answer in time" : "no connection in time"});
    if (!*alive) return;
  }
  for (auto& done : late) {
    done({0, "", false, "no free connection in time"});
    if (!*alive) return;
  }
  if (!given_up.empty()) pump_carried();
  if (*alive) arm();
}

void Client::arm() {
  double next = 0;
  for (auto& c : active_)
    if (!next || c->pending.deadline < next) next = c->pending.deadline;
  for (auto& p : queue_)
    if (!next || p.deadline < next) next = p.deadline;
  for (auto& [id, p] : transported_)
    if (!next || p.deadline < next) next = p.deadline;
  if (!next) return;
  if (deadline_timer_.active() && armed_for_ <= next) return;
  armed_for_ = next;
  deadline_timer_.once(next - steady_now(), [this] { check_deadlines(); });
}

}  // namespace corkmux::http
