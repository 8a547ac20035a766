// The messages between a worker host and the collector of the run. The host sends the events of its machines,
// in their order, with the time up to which they are complete; the collector responds with instructions.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "codec.h"
#include "worker.h"

namespace corkmux::scale_test {

using codec::Json;

/// Time in s on the steady clock, which all processes of one machine share.
double run_time();

struct MachineEvent {
  enum class Kind { Booted, TaskPlaced, TaskRemoved, ProgressLost, TaskRunning, TaskDone };
  Kind kind = Kind::Booted;
  double at = 0;             // s of run_time()
  std::string machine = {};  // Booted, TaskPlaced, TaskRemoved
  std::string job = {};      // all kinds but Booted
  int index = 0;             // of the task
  std::uint64_t attempt = 0;
  // TaskRemoved, ProgressLost: reason; Booted: address at which the worker accepts commands.
  std::string why = {};
  double seconds = 0;  // ProgressLost: run time that a task has to repeat
};

/// One status message of a host.
struct HostStatus {
  int host = 0;
  double until = 0;  // s of run_time(): with this message all events up to this time have been sent
  std::vector<MachineEvent> events;
  Json traffic = Json::object();  // http::Traffic of the process
  int workers = 0;
  int tasks = 0;
};
Json to_wire(const HostStatus& status);
/// nullopt: malformed.
std::optional<HostStatus> parse_host_status(const Json& body);

/// The collector's response to a status message.
struct HostInstructions {
  std::vector<simulation::MachineFacts> boot;
  std::vector<std::string> lose;  // machines to terminate, with all tasks on them
  std::string why_lost;
};
Json to_wire(const HostInstructions& instructions);
/// `types`: must contain every machine type that the collector may name.
HostInstructions parse_host_instructions(const Json& body, const std::vector<MachineType>& types);

/// The traffic of this process for a status message: [messages, bytes in, bytes out] by kind of message.
Json traffic_to_wire();

}  // namespace corkmux::scale_test
