// The messages between a fan-in member and the leader: heartbeats and outcomes of commands in one direction,
// answers and commands in the other, many in one message. The only file that depends on their wire format.
// Whatever a message from another controller contains, parsing it fails at most for its malformed entries.
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

/// A heartbeat that equals the heartbeat with sequence number `base_seq`, which the leader has answered, in
/// all but its own sequence number.
struct HeartbeatDelta {
  std::string machine;
  std::uint64_t worker_epoch = 0;
  std::uint64_t base_seq = 0;
  std::uint64_t seq = 0;
};

/// A worker's heartbeat on its way to the leader.
struct ForwardedHeartbeat {
  std::uint64_t id = 0;  // identifies it in the answer
  std::variant<FullHeartbeat, HeartbeatDelta> heartbeat;
};

/// The outcome of commands that the leader sent through a fan-in member.
struct CommandOutcome {
  std::uint64_t id;  // by which the leader identifies them
  WorkerReply reply;
};

struct HeartbeatBatch {
  std::string from;  // label of the fan-in member
  std::vector<ForwardedHeartbeat> heartbeats;
  std::vector<CommandOutcome> outcomes;
};

/// The leader cannot complete the delta: the heartbeat has to be sent in full.
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
  std::string body;  // in the worker's wire format
};

struct ForwardedCommandBatch {
  std::string from;  // label of the leader
  std::vector<ForwardedCommands> commands;
};

std::string pack(const HeartbeatBatch& batch);
std::string pack(const std::vector<HeartbeatAnswer>& answers);
std::string pack(const ForwardedCommandBatch& batch);

/// A received message; `malformed` counts its entries that could not be parsed and were skipped.
template <typename Message>
struct Parsed {
  Message message;
  int malformed = 0;
};
/// No value: the bytes are no such message.
std::optional<Parsed<HeartbeatBatch>> parse_heartbeats(std::string_view bytes);
std::optional<Parsed<ForwardedCommandBatch>> parse_commands(std::string_view bytes);
std::optional<std::vector<HeartbeatAnswer>> parse_answers(std::string_view bytes);

/// Upper bound of the bytes that an entry takes in its message.
std::size_t size_of(const ForwardedHeartbeat& heartbeat);
std::size_t size_of(const CommandOutcome& outcome);
std::size_t size_of(const ForwardedCommands& commands);

}  // namespace corkmux::fanin
