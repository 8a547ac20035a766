#include "cloud_codec.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "ipv4_address.h"
#include "wire_fields.h"
#include "wire_names.h"

namespace corkmux::codec {
namespace {

using namespace names;

constexpr double kMinFetchRate = 1e-3;   // GB/s; prevents a division by zero if the catalog gives no rate
constexpr double kDefaultBootTime = 60;  // s

/// Nullopt if the type has no valid name. An amount that is missing or out of range reads as its default.
std::optional<MachineType> parse_type(const Json& body) {
  MachineType type;
  type.name = text(body, kTypeName);
  if (!is_valid_name(type.name)) return std::nullopt;
  type.size = {amount(body, kCpus).value_or(0), amount(body, kGpus).value_or(0),
               amount(body, kMemoryGb).value_or(0)};
  type.cache_gb = amount(body, kCacheGb).value_or(0);
  type.fetch_gb_per_s = std::max(kMinFetchRate, amount(body, kFetchRate).value_or(1));
  type.price = amount(body, kPrice).value_or(0);
  type.spot_price = amount(body, kSpotPrice).value_or(0);
  type.boot_s = amount(body, kBootTime).value_or(kDefaultBootTime);
  type.zones = texts(body, kZones);
  return type;
}

ListedMachine::Phase parse_phase(const std::string& phase) {
  if (phase == kBooting) return ListedMachine::Phase::Booting;
  if (phase == kFailedMachine) return ListedMachine::Phase::Failed;
  return ListedMachine::Phase::Running;
}

/// Nullopt if the machine has no valid name. An invalid address reads as empty.
std::optional<ListedMachine> parse_machine(const Json& body) {
  ListedMachine machine;
  machine.name = text(body, kMachineName);
  if (!is_valid_name(machine.name)) return std::nullopt;
  machine.address = text(body, kAddress);
  if (!parse_ipv4_address(machine.address)) machine.address.clear();
  machine.type = text(body, kMachineType);
  machine.zone = text(body, kZone);
  machine.spot = flag(body, kSpot);
  machine.phase = parse_phase(text(body, kPhase));
  machine.age_s = amount(body, kAge).value_or(0);
  return machine;
}

}  // namespace

std::vector<MachineType> parse_catalog(const Json& body) {
  std::vector<MachineType> types;
  const Json* list = list_field(body, kMachineTypes);
  if (!list) return types;
  for (const auto& item : *list) {
    if (auto type = parse_type(item)) types.push_back(std::move(*type));
  }
  return types;
}

Json catalog_to_wire(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const auto& type : types)
    list.push_back({{kTypeName, type.name},
                    {kCpus, type.size.cpus},
                    {kGpus, type.size.gpus},
                    {kMemoryGb, type.size.memory_gb},
                    {kCacheGb, type.cache_gb},
                    {kFetchRate, type.fetch_gb_per_s},
                    {kPrice, type.price},
                    {kSpotPrice, type.spot_price},
                    {kBootTime, type.boot_s},
                    {kZones, type.zones}});
  return {{kMachineTypes, std::move(list)}};
}

Json provision_request(const std::string& request, const std::string& type, const std::string& zone,
                       bool spot, int count) {
  return {{kRequestId, request}, {kMachineType, type}, {kZone, zone}, {kSpot, spot}, {kCount, count}};
}

std::vector<std::string> parse_provisioned(const Json& body) {
  auto names = texts(body, kMachines);
  std::erase_if(names, [](const std::string& name) { return !is_valid_name(name); });
  return names;
}

bool is_no_capacity(const Json& body) { return text(body, kError) == kNoCapacity; }

Json delete_request(const std::vector<std::string>& names) { return {{kMachines, names}}; }

std::string list_path(const std::string& after, int limit) {
  return "/hosts?" + (after.empty() ? std::string() : "after=" + after + "&") +
         "most=" + std::to_string(limit);
}

MachineList parse_machines(const Json& body) {
  MachineList out;
  out.more = flag(body, kTruncated);
  const Json* list = list_field(body, kMachines);
  if (!list) return out;
  for (const auto& item : *list) {
    if (auto machine = parse_machine(item)) out.machines.push_back(std::move(*machine));
  }
  return out;
}

}  // namespace corkmux::codec
