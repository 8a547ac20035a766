// HTTP/1.1 over libev: one incremental parser, a server and a pooled client. No request is pipelined.
#pragma once
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "event_loop.h"
#include "traffic.h"
#include "transport.h"

namespace corkmux::http {

struct Request {
  std::string method, target, body;
  bool keep_alive = true;
  std::string content_type = {}, accept = {}, authorization = {};  // as sent, empty if not
};
struct Response {
  int status = 200;
  std::string body;
  int retry_after_s = 0;
  bool close = false;
  const char* content_type = "application/msgpack";
  std::vector<std::string> warnings = {};  // RFC 9111's Warning with code 299; printable ASCII only
};

/// Incremental; feed() takes any split of the bytes.
class Parser {
 public:
  enum class Mode { Request, Response };
  enum class State { NeedMore, Done, Bad };
  Parser(Mode mode, std::size_t max_body) : mode_(mode), max_body_(max_body) {}
  State feed(std::string_view bytes);
  /// The peer closed: completes a response whose length only the end tells.
  State finish();
  void reset();

  int error_status() const { return error_; }  // 400, 413, 431 or 501 after Bad
  std::string method, target, body, content_type, accept, authorization;
  int status = 0;
  bool keep_alive = true;
  bool idle() const { return stage_ == Stage::Head && buffer_.empty(); }

 private:
  enum class Stage { Head, Body, ChunkSize, ChunkData, ChunkEnd, Trailer, UntilClose, Done, Bad };
  State bad(int status);
  bool parse_head(std::string_view head);
  Mode mode_;
  std::size_t max_body_;
  Stage stage_ = Stage::Head;
  std::string buffer_;
  std::size_t scanned_ = 0, length_ = 0;
  int error_ = 400;
};

/// In parts: the head only, its body is to follow in chunks.
std::string serialize(const Response& response, bool keep_alive, bool in_parts = false);

/// Owns a file descriptor.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  ~Fd();
  Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  Fd& operator=(Fd&&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

class Server {
 public:
  using ConnectionId = std::uint64_t;
  using Handler = std::function<void(ConnectionId, Request)>;
  /// Binds at once; throws std::runtime_error when the address cannot be had.
  Server(Loop& loop, const std::string& address, std::size_t max_connections, Handler handler);
  ~Server();
  void respond(ConnectionId id, const Response& response);
  /// An answer in parts: its head, then any number of parts, then its end, with which the connection closes.
  void begin(ConnectionId id, const Response& head);
  /// false: the caller is gone.
  bool part(ConnectionId id, std::string_view bytes);
  void end(ConnectionId id);
  bool connected(ConnectionId id) const { return connections_.count(id) > 0 || transported_.count(id) > 0; }
  /// Bytes of it that the caller has not taken yet.
  std::size_t unsent(ConnectionId id) const;
  /// Takes no new connections; open ones close with their next answer.
  void close();
  /// Whether a request waits for its answer, or an answer to be sent; such in parts not counted.
  bool busy() const;
  int port() const { return port_; }
  std::size_t connections() const { return connections_.size() + transported_.size(); }

 private:
  struct Connection;
  void listen(const std::string& address);
  void accept_ready();
  void ready(ConnectionId id, int events);
  void advance(Connection& c, std::string_view bytes);
  void flush(Connection& c);
  void drop(ConnectionId id);
  void sweep();
  Loop& loop_;
  Transport* transport_;  // null: sockets. Answers in parts are for sockets only.
  std::unordered_map<ConnectionId, Transport::Answer> transported_;
  std::size_t max_connections_;
  Handler handler_;
  std::optional<Fd> listener_;
  bool closing_ = false;
  int port_ = 0;
  std::unique_ptr<IoWatcher> accept_io_;
  Timer sweeper_;
  ConnectionId next_ = 1;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
};

struct Result {
  int status = 0;  // 0: no answer; the request may or may not have been executed
  std::string body;
  bool sent = true;        // false: surely never left this process
  std::string error = {};  // why there is no answer, for logs
  bool ok() const { return status == 200; }
};

class Client {
 public:
  using Callback = std::function<void(Result)>;
  Client(Loop& loop, std::string address, std::size_t max_connections, std::size_t max_queue);
  ~Client();
  void request(std::string method, std::string target, std::string body, double timeout_s, Callback done);
  /// Sees how each request ended, before its caller does.
  void observe(std::function<void(const Result&)> observer) { observer_ = std::move(observer); }
  const std::string& address() const { return address_; }
  bool busy() const { return !active_.empty() || !queue_.empty() || !transported_.empty(); }

 private:
  struct Pending {
    std::string bytes;
    double deadline = 0;
    Callback done;
    bool safe = false;     // GET: may be sent again on a fresh connection
    Request request = {};  // for a carrier, instead of the bytes
    bool sent = false;     // by a carrier
    TrafficCount* traffic = nullptr;
  };
  struct Connection;
  void pump();
  void pump_carried();
  void start(Connection& c, Pending p);
  void ready(Connection* c, int events);
  void complete(Connection* c, Result result, bool reusable);
  void fail(Connection* c, const char* why);
  void check_deadlines();
  void arm();
  Loop& loop_;
  std::string address_;
  std::size_t max_connections_, max_queue_;
  std::function<void(const Result&)> observer_;
  std::list<Pending> queue_;
  std::list<std::unique_ptr<Connection>> active_, idle_;
  Transport* transport_;  // null: sockets
  std::map<std::uint64_t, Pending> transported_;
  std::uint64_t next_carried_ = 1;
  std::size_t transported_idle_ = 0;  // open connections that carry nothing
  Timer deadline_timer_;
  double armed_for_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace corkmux::http
