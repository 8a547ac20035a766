// The messages between a fan-in member and the leader: heartbeats and the outcomes of commands one way,
// answers and commands the other, many in one message. The only file that knows their form on the wire.
// Whatever a message from another controller holds, parsing it fails at most for the entry that is wrong.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "codec.h"
#include "leader_reply.h"
#include "worker_reply.h"

namespace corkmux::fanin {

/// A heartbeat as the worker sent it.
struct FullHeartbeat {
  std::string body;
};

/// A heartbeat that repeats but for its number the heartbeat `same_as`, which the leader has answered.
struct HeartbeatDelta {
  std::string machine;
  std::uint64_t worker_epoch = 0;
  std::uint64_t same_as = 0;
  std::uint64_t number = 0;
};

/// A worker's heartbeat on its way to the leader.
struct ForwardedHeartbeat {
  std::uint64_t id = 0;  // names it in the answer
  std::variant<FullHeartbeat, HeartbeatDelta> heartbeat;
};

/// What became of commands that the leader sent through a fan-in member.
struct CommandOutcome {
  std::uint64_t id;  // the leader's name for them
  WorkerReply reply;
};

struct HeartbeatBatch {
  std::string from;  // label of the fan-in member
  std::vector<ForwardedHeartbeat> heartbeats;
  std::vector<CommandOutcome> outcomes;
};

/// The leader cannot complete the delta: the heartbeat is sent in full then.
struct FullHeartbeatRequired {};

/// The leader's answer to one heartbeat of a batch.
struct HeartbeatAnswer {
  std::uint64_t id;
  std::variant<LeaderReply, FullHeartbeatRequired> content;
};

/// Commands to one worker.
struct ForwardedCommands {
  std::uint64_t id = 0;
  std::string machine;
  std::string address;
  std::string body;  // in the worker's wire form
};

struct ForwardedCommandBatch {
  std::string from;  // label of the leader
  std::vector<ForwardedCommands> commands;
};

std::string pack(const HeartbeatBatch& batch);
std::string pack(const std::vector<HeartbeatAnswer>& answers);
std::string pack(const ForwardedCommandBatch& batch);

/// What was received; `malformed` counts the entries that are not what they should be and were passed over.
template <typename Message>
struct Parsed {
  Message message;
  int malformed = 0;
};
/// No value: not such a message at all.
std::optional<Parsed<HeartbeatBatch>> parse_heartbeats(std::string_view bytes);
std::optional<Parsed<ForwardedCommandBatch>> parse_commands(std::string_view bytes);
std::optional<std::vector<HeartbeatAnswer>> parse_answers(std::string_view bytes);

/// Bytes that an entry takes in its message, at most.
std::size_t size_of(const ForwardedHeartbeat& heartbeat);
std::size_t size_of(const CommandOutcome& outcome);
std::size_t size_of(const ForwardedCommands& commands);

}  // namespace corkmux::fanin
