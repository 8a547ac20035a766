// Messages of workers: heartbeats, commands and redirects; and the compact encodings in which controllers
// relay heartbeats and commands to each other.
#pragma once
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "heartbeat.h"
#include "msgpack.h"
#include "task_command.h"

namespace corkmux::codec {

/// The path on which a worker accepts commands.
inline constexpr const char* kCommandsPath = "/orders";

std::optional<Heartbeat> parse_heartbeat(const Json& body);
Json commands_to_wire(std::uint64_t fencing_token, const std::vector<TaskCommand>& commands,
                      std::optional<std::uint64_t> worker_epoch);
/// A redirect to the controller with that name.
Json redirect_to_wire(std::string_view label);

/// Compact encodings of the same bodies, for messages relayed between controllers that read RecordFormat V2.
/// Each returns null if its input is not such a body.
Json compact_heartbeat(const Json& body);
Json expand_heartbeat(const Json& compact);
Json compact_commands(const Json& body);
Json expand_commands(const Json& compact);

}  // namespace corkmux::codec
