#include "machine_events.h"

#include <algorithm>

#include "http.h"

namespace corkmux::scale_test {
namespace {

/// Encodes the event as a list without field names, because a status message may have hundreds of events.
Json event_to_wire(const MachineEvent& event) {
  return {static_cast<int>(event.kind),
          event.at,
          event.machine,
          event.job,
          event.index,
          event.attempt,
          event.why,
          event.seconds};
}

MachineEvent parse_event(const Json& body) {
  MachineEvent event;
  event.kind = static_cast<MachineEvent::Kind>(body.at(0).get<int>());
  event.at = body.at(1).get<double>();
  event.machine = body.at(2).get<std::string>();
  event.job = body.at(3).get<std::string>();
  event.index = body.at(4).get<int>();
  event.attempt = body.at(5).get<std::uint64_t>();
  event.why = body.at(6).get<std::string>();
  event.seconds = body.at(7).get<double>();
  return event;
}

}  // namespace

double run_time() { return steady_now(); }

Json to_wire(const HostStatus& status) {
  Json events = Json::array();
  for (const auto& event : status.events) events.push_back(event_to_wire(event));
  return {{"host", status.host},       {"until", status.until},     {"events", std::move(events)},
          {"traffic", status.traffic}, {"workers", status.workers}, {"tasks", status.tasks}};
}

std::optional<HostStatus> parse_host_status(const Json& body) {
  try {
    HostStatus status;
    status.host = body.at("host").get<int>();
    status.until = body.at("until").get<double>();
    status.traffic = body.at("traffic");
    status.workers = body.at("workers").get<int>();
    status.tasks = body.at("tasks").get<int>();
    for (const auto& event : body.at("events")) status.events.push_back(parse_event(event));
    return status;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Json to_wire(const HostInstructions& instructions) {
  Json boot = Json::array();
  for (const auto& machine : instructions.boot)
    boot.push_back({machine.name, machine.type.name, machine.zone});
  return {{"boot", std::move(boot)}, {"lose", instructions.lose}, {"why", instructions.why_lost}};
}

HostInstructions parse_host_instructions(const Json& body, const std::vector<MachineType>& types) {
  HostInstructions instructions;
  for (const auto& machine : body.value("boot", Json::array())) {
    auto name = machine.at(1).get<std::string>();
    auto type = std::find_if(types.begin(), types.end(), [&](const auto& one) { return one.name == name; });
    instructions.boot.push_back(
        {machine.at(0).get<std::string>(), *type, machine.at(2).get<std::string>(), false});
  }
  instructions.lose = body.value("lose", std::vector<std::string>());
  instructions.why_lost = body.value("why", "died");
  return instructions;
}

Json traffic_to_wire() {
  Json counts = Json::object();
  for (const auto& [kind, count] : http::Traffic::of_process().counts())
    counts[kind] = {count.messages, count.bytes_in, count.bytes_out};
  return counts;
}

}  // namespace corkmux::scale_test
