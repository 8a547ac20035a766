// A worker's heartbeat on its way to the scheduler, and the leader's reply to it.
//
// Plain data that passes between the controller's endpoints and the leader. It knows nothing of HTTP:
// statuses are chosen where the reply leaves the controller.
#pragma once
#include <functional>
#include <string>
#include <utility>

#include "leader_reply.h"
#include "model.h"

namespace corkmux {

/// What the leader says to a worker's heartbeat.
struct HeartbeatReply {
  enum class Status {
    Answered,    // the worker's lease is renewed, and it gets its commands
    Unavailable  // this controller does not lead, or cannot vouch for the worker's tasks now
  };
  Status status = Status::Unavailable;
  std::string commands;  // of an answered heartbeat: fencing token and task commands, in their wire form
};

/// The reply in the form that passes between controllers.
inline LeaderReply to_leader_reply(HeartbeatReply reply) {
  bool answered = reply.status == HeartbeatReply::Status::Answered;
  return answered ? LeaderReply::answered(std::move(reply.commands)) : LeaderReply::unavailable();
}

/// Takes the reply to one heartbeat; called once.
using HeartbeatCallback = std::function<void(HeartbeatReply)>;

/// How a heartbeat came.
enum class HeartbeatRoute {
  Direct,     // from a worker that reaches this controller or one of its peers
  StoreRelay  // through the state store
};

/// A heartbeat with what is needed to answer it.
struct IncomingHeartbeat {
  Heartbeat heartbeat;
  HeartbeatRoute route = HeartbeatRoute::Direct;
  std::string server;  // label of the controller that forwarded it in a batch; empty: none did
  HeartbeatCallback reply;
};

}  // namespace corkmux
