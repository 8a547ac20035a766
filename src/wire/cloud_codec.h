// Requests to the cloud and its responses: the catalog of machine types, provisioning, lists of machines.
#pragma once
#include <string>
#include <vector>

#include "machine_type.h"
#include "msgpack.h"

namespace corkmux::codec {

inline constexpr const char* kCatalogPath = "/catalog";
inline constexpr const char* kProvisionPath = "/hosts";
inline constexpr const char* kDeletePath = "/hosts/delete";

std::vector<MachineType> parse_catalog(const Json& body);
Json catalog_to_wire(const std::vector<MachineType>& types);

/// A request for `count` machines. `request` is an idempotency key: the cloud executes repeated requests with
/// the same id once.
Json provision_request(const std::string& request, const std::string& type, const std::string& zone,
                       bool spot, int count);
/// The names of the machines that a request provisioned.
std::vector<std::string> parse_provisioned(const Json& body);
bool is_no_capacity(const Json& body);
Json delete_request(const std::vector<std::string>& names);

struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};
/// The path of the page of at most `limit` machines after that name.
std::string list_path(const std::string& after, int limit);
MachineList parse_machines(const Json& body);

}  // namespace corkmux::codec
