// The caller of one HTTP request, to whom its answer goes.
#pragma once
#include <string>
#include <string_view>

#include "codec.h"
#include "http.h"

namespace corkmux {

namespace constants {
inline constexpr int kRetryAfter = 1;  // s told to callers; the shortest they respect
}

/// A handle to the connection on which a request came; may be copied and kept until the answer is known.
class Responder {
 public:
  Responder(http::Server& server, http::Server::ConnectionId connection)
      : server_(&server), connection_(connection) {}
  /// A MessagePack body.
  void answer(int status, const codec::Json& body) const { pass_on(status, codec::pack(body)); }
  /// A refusal that names its reason.
  void error(int status, std::string_view reason) const { answer(status, codec::error_to_wire(reason)); }
  /// 503: the same request may succeed soon.
  void unavailable(std::string_view reason) const {
    server_->respond(connection_,
                     {503, codec::pack(codec::error_to_wire(reason)), constants::kRetryAfter, false});
  }
  /// A body that is encoded already.
  void pass_on(int status, std::string body) const {
    server_->respond(connection_, {status, std::move(body), 0, false});
  }

 private:
  http::Server* server_;
  http::Server::ConnectionId connection_;
};

}  // namespace corkmux
