// The reply to commands that were sent to a worker. Between controllers it travels as an HTTP status, whether
// the request was sent, and a body; only this class maps between the two.
#pragma once
#include <string>
#include <utility>

#include "http.h"

namespace corkmux {

class WorkerReply {
 public:
  enum class Kind {
    Executed,    // the worker has accepted the commands
    Refused,     // the worker has accepted a newer fencing token, or is not the intended worker
    Unanswered,  // the worker may have received the commands
    Unsent       // the commands certainly never left the controller that was to send them
  };

  static WorkerReply from_http(http::Result result) {
    return {result.status, result.sent, std::move(result.body)};
  }
  static WorkerReply from_wire(int status, bool sent, std::string body) {
    return {status, sent, std::move(body)};
  }

  Kind kind() const {
    if (status_ == kExecuted) return Kind::Executed;
    if (status_ == kRefused) return Kind::Refused;
    return sent_ ? Kind::Unanswered : Kind::Unsent;
  }
  /// The worker's heartbeat, if it answered.
  const std::string& body() const { return body_; }
  /// 0: no answer.
  int wire_status() const { return status_; }
  bool wire_sent() const { return sent_; }

 private:
  static constexpr int kExecuted = 200;
  static constexpr int kRefused = 409;
  WorkerReply(int status, bool sent, std::string body)
      : status_(status), sent_(sent), body_(std::move(body)) {}
  int status_;
  bool sent_;
  std::string body_;
};

}  // namespace corkmux
