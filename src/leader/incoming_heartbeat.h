// Types for a worker's heartbeat as it is passed to the leader, and for the leader's reply.
//
// Plain data that passes between the controller's endpoints and the leader. It is independent of HTTP: the
// endpoint that sends the reply chooses the status code.
#pragma once
#include <functional>
#include <string>
#include <utility>

#include "leader_reply.h"
#include "model.h"

namespace corkmux {

/// The leader's reply to a worker's heartbeat.
struct HeartbeatReply {
  enum class Status {
    Answered,    // the worker's lease is renewed, and the reply contains its commands
    Unavailable  // this controller does not lead, or cannot acknowledge the worker's tasks now
  };
  Status status = Status::Unavailable;
  std::string commands;  // if Answered: fencing token and task commands, in their wire form
};

/// Converts the reply to the form that controllers exchange.
inline LeaderReply to_leader_reply(HeartbeatReply reply) {
  bool answered = reply.status == HeartbeatReply::Status::Answered;
  return answered ? LeaderReply::answered(std::move(reply.commands)) : LeaderReply::unavailable();
}

/// Receives the reply to one heartbeat; called once.
using HeartbeatCallback = std::function<void(HeartbeatReply)>;

/// The route by which a heartbeat arrived.
enum class HeartbeatRoute {
  Direct,     // from a worker that can connect to this controller or one of its peers
  StoreRelay  // through the state store
};

/// A heartbeat with the data needed to answer it.
struct IncomingHeartbeat {
  Heartbeat heartbeat;
  HeartbeatRoute route = HeartbeatRoute::Direct;
  std::string forwarder;  // label of the controller that forwarded it in a batch; empty: not forwarded
  HeartbeatCallback reply;
};

}  // namespace corkmux
