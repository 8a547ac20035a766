// Sends the answer to one HTTP request.
#pragma once
#include <string>
#include <string_view>

#include "codec.h"
#include "http.h"

namespace corkmux {

namespace constants {
inline constexpr int kRetryAfter = 1;  // s of the Retry-After header; the shortest that callers respect
}

/// A handle to the connection on which a request came; may be copied and kept until the answer is available.
class Responder {
 public:
  Responder(http::Server& server, http::Server::ConnectionId connection)
      : server_(&server), connection_(connection) {}
  /// Answers with a MessagePack body.
  void answer(int status, const codec::Json& body) const { answer_encoded(status, codec::pack(body)); }
  /// Answers with an error that names its reason.
  void error(int status, std::string_view reason) const { answer(status, codec::error_to_wire(reason)); }
  /// Answers 503: the same request may succeed soon.
  void unavailable(std::string_view reason) const {
    server_->respond(connection_,
                     {503, codec::pack(codec::error_to_wire(reason)), constants::kRetryAfter, false});
  }
  /// Answers with a body that is encoded already.
  void answer_encoded(int status, std::string body) const {
    server_->respond(connection_, {status, std::move(body), 0, false});
  }

 private:
  http::Server* server_;
  http::Server::ConnectionId connection_;
};

}  // namespace corkmux
