// What a process that hosts workers tells the collector of the run: events of its machines, in its own order,
// and the moment up to which it has told everything.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "codec.h"
#include "worker.h"

namespace corkmux::scale_test {

using codec::Json;

/// s on the clock that all processes of one machine share.
double run_time();

struct MachineEvent {
  enum class Kind { Up, On, Off, Lost, Running, Done };
  Kind kind = Kind::Up;
  double at = 0;             // s of run_time()
  std::string machine = {};  // Up, On, Off
  std::string job = {};      // all but Up
  int index = 0;             // of the task
  std::uint64_t attempt = 0;
  std::string why = {};  // Off, Lost; of Up the address at which the worker takes commands
  double seconds = 0;    // Lost: of a task's run
};

/// One message of a host.
struct HostStatus {
  int host = 0;
  double until = 0;  // s of run_time(): everything up to here has been told with this message
  std::vector<MachineEvent> events;
  Json traffic = Json::object();  // http::Traffic of the process
  int workers = 0;
  int tasks = 0;
};
Json to_wire(const HostStatus& status);
/// nullopt: malformed.
std::optional<HostStatus> parse_host_status(const Json& body);

/// What the collector answers.
struct HostInstructions {
  std::vector<simulation::MachineFacts> boot;
  std::vector<std::string> lose;  // these machines end with all that is on them
  std::string why_lost;
};
Json to_wire(const HostInstructions& instructions);
/// `types`: all that the collector may name.
HostInstructions parse_host_instructions(const Json& body, const std::vector<MachineType>& types);

/// Traffic of this process, for a status message: [messages, bytes in, bytes out] by kind.
Json traffic_to_wire();

}  // namespace corkmux::scale_test
