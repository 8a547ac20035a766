// The messages between a controller that serves workers and the leader: reports and the outcomes of orders
// one way, answers and orders the other, many in one message. Whatever a message from another controller
// holds, parsing it fails at most for the entry that is wrong.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec.h"

namespace corkmux::fanin {

/// A worker's report: its body as the worker sent it or, if nothing but its number has changed since the
/// report `same_as`, which the leader has answered, only that.
struct ForwardedHeartbeat {
  std::uint64_t id = 0;  // names it in the answer
  std::string body;      // empty: unchanged
  std::string machine;   // of an unchanged one, as what follows
  std::uint64_t worker_epoch = 0, same_as = 0, number = 0;
};

/// What became of orders that the leader sent through a serving controller.
struct CommandOutcome {
  std::uint64_t id = 0;  // the leader's name for them
  int status = 0;        // of the worker's answer; 0: none
  bool sent = true;      // false: they surely never left the serving controller
  std::string body;      // the worker's report
};

struct HeartbeatBatch {
  std::string from;  // label of the serving controller
  std::vector<ForwardedHeartbeat> heartbeats;
  std::vector<CommandOutcome> outcomes;
};

/// The status of an answer to an unchanged report that the leader cannot complete: it is sent whole then.
inline constexpr int kFullHeartbeatRequired = 428;

struct HeartbeatAnswer {
  std::uint64_t id = 0;
  int status = 0;
  std::string body;
};

/// Orders to one worker.
struct ForwardedCommands {
  std::uint64_t id = 0;
  std::string machine, address, body;
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
