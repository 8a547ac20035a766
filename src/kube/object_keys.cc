#include "object_keys.h"

#include "store_keys.h"

namespace corkmux::kube {
namespace {

constexpr std::string_view kJobsPart = "/jobs/";

}  // namespace

std::string objects_prefix(const std::string& namespace_name) {
  return kKubeObjects + namespace_name + std::string(kJobsPart);
}

std::string object_key(const std::string& namespace_name, const std::string& name) {
  return objects_prefix(namespace_name) + name;
}

std::optional<ObjectId> parse_object_key(const std::string& key) {
  const auto jobs_part = key.find(kJobsPart);
  if (jobs_part == std::string::npos || jobs_part < kKubeObjects.size()) return std::nullopt;
  return ObjectId{key.substr(kKubeObjects.size(), jobs_part - kKubeObjects.size()),
                  key.substr(jobs_part + kJobsPart.size())};
}

}  // namespace corkmux::kube
