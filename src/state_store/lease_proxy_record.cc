#include "lease_proxy_record.h"

namespace corkmux {

codec::Json to_json(const LeaseProxyRecord& record) {
  codec::Json machines = codec::Json::array();
  for (const auto& machine : record.machines) machines.push_back(machine);
  return {{"m", std::move(machines)}, {"n", record.number}};
}

LeaseProxyRecord parse_lease_proxy_record(const codec::Json& record) {
  LeaseProxyRecord parsed;
  if (auto machines = record.find("m"); machines != record.end() && machines->is_array())
    for (const auto& machine : *machines)
      if (machine.is_string()) parsed.machines.push_back(machine.get<std::string>());
  if (auto number = record.find("n"); number != record.end() && number->is_number_unsigned())
    parsed.number = number->get<std::uint64_t>();
  return parsed;
}

}  // namespace corkmux
