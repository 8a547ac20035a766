// What workers send and receive: heartbeats, commands, redirects; and the compact forms of both in which
// controllers relay them to each other.
#pragma once
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "heartbeat.h"
#include "msgpack.h"
#include "task_command.h"

namespace corkmux::codec {

/// The worker's path for commands.
inline constexpr const char* kCommandsPath = "/orders";

std::optional<Heartbeat> parse_heartbeat(const Json& body);
Json commands_to_wire(std::uint64_t fencing_token, const std::vector<TaskCommand>& commands,
                      std::optional<std::uint64_t> worker_epoch);
/// To the controller of that name.
Json redirect_to_wire(std::string_view label);

/// The same bodies in few bytes, for messages relayed between controllers that read RecordFormat V2. Null:
/// not such a body.
Json compact_heartbeat(const Json& body);
Json expand_heartbeat(const Json& brief);
Json compact_answer(const Json& body);
Json expand_answer(const Json& brief);

}  // namespace corkmux::codec
