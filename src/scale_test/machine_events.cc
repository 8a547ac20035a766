#include "machine_events.h"

#include <algorithm>

#include "http.h"

namespace corkmux::scale_test {

double run_time() { return steady_now(); }

Json to_wire(const HostStatus& report) {
  Json events = Json::array();
  for (const auto& e : report.events)
    events.push_back(
        {static_cast<int>(e.kind), e.at, e.machine, e.job, e.index, e.attempt, e.why, e.seconds});
  return {{"host", report.host},       {"until", report.until},     {"events", std::move(events)},
          {"traffic", report.traffic}, {"workers", report.workers}, {"tasks", report.tasks}};
}

std::optional<HostStatus> parse_host_status(const Json& body) {
  try {
    HostStatus out;
    out.host = body.at("host").get<int>();
    out.until = body.at("until").get<double>();
    out.traffic = body.at("traffic");
    out.workers = body.at("workers").get<int>();
    out.tasks = body.at("tasks").get<int>();
    for (const auto& e : body.at("events"))
      out.events.push_back({static_cast<MachineEvent::Kind>(e.at(0).get<int>()), e.at(1).get<double>(),
                            e.at(2).get<std::string>(), e.at(3).get<std::string>(), e.at(4).get<int>(),
                            e.at(5).get<std::uint64_t>(), e.at(6).get<std::string>(), e.at(7).get<double>()});
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Json to_wire(const HostInstructions& instructions) {
  Json boot = Json::array();
  for (const auto& m : instructions.boot) boot.push_back({m.name, m.type.name, m.zone});
  return {{"boot", std::move(boot)}, {"lose", instructions.lose}, {"why", instructions.why_lost}};
}

HostInstructions parse_host_instructions(const Json& body, const std::vector<MachineType>& types) {
  HostInstructions out;
  for (const auto& m : body.value("boot", Json::array())) {
    auto type = std::find_if(types.begin(), types.end(),
                             [&](const auto& t) { return t.name == m.at(1).get<std::string>(); });
    out.boot.push_back({m.at(0).get<std::string>(), *type, m.at(2).get<std::string>(), false});
  }
  out.lose = body.value("lose", std::vector<std::string>());
  out.why_lost = body.value("why", "died");
  return out;
}

Json traffic_to_wire() {
  Json out = Json::object();
  for (const auto& [kind, count] : http::Traffic::of_process().counts())
    out[kind] = {count.messages, count.bytes_in, count.bytes_out};
  return out;
}

}  // namespace corkmux::scale_test
