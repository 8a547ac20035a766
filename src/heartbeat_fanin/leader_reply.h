// The reply to a heartbeat that was passed on to the leader, by whichever route. Between controllers it
// travels as an HTTP status and a body; only this class maps between the two.
#pragma once
#include <functional>
#include <string>
#include <utility>

namespace corkmux {

class LeaderReply {
 public:
  /// The worker's lease is renewed. `commands`: its commands in wire format.
  static LeaderReply answered(std::string commands) { return {kAnswered, std::move(commands)}; }
  /// No leader takes the heartbeat now, and none has received it: the worker tries another controller.
  static LeaderReply unavailable() { return {kUnavailable, ""}; }
  /// The heartbeat cannot be parsed.
  static LeaderReply malformed() { return {kMalformed, ""}; }
  /// The leader may have received the heartbeat; its answer was not received.
  static LeaderReply unanswered() { return {kUnanswered, ""}; }
  static LeaderReply from_wire(int status, std::string body) { return {status, std::move(body)}; }

  bool is_answered() const { return status_ == kAnswered; }
  bool is_unanswered() const { return status_ == kUnanswered; }
  /// 0: unanswered.
  int wire_status() const { return status_; }
  const std::string& body() const { return body_; }

 private:
  static constexpr int kUnanswered = 0;
  static constexpr int kAnswered = 200;
  static constexpr int kMalformed = 400;
  static constexpr int kUnavailable = 503;
  LeaderReply(int status, std::string body) : status_(status), body_(std::move(body)) {}
  int status_;
  std::string body_;
};

using LeaderReplyCallback = std::function<void(LeaderReply)>;

}  // namespace corkmux
