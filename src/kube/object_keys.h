// Where objects are kept in the state store: `n/<namespace>/jobs/<name>`.
#pragma once
#include <optional>
#include <string>

namespace corkmux::kube {

/// What an object is called by clients.
struct ObjectId {
  std::string namespace_name;
  std::string name;
};

/// The key under which an object is stored.
std::string object_key(const std::string& namespace_name, const std::string& name);
/// The prefix of the keys of all objects of a namespace.
std::string objects_prefix(const std::string& namespace_name);
/// Whose key it is; nullopt: no object's.
std::optional<ObjectId> parse_object_key(const std::string& key);

}  // namespace corkmux::kube
