// Keys of objects in the state store: `n/<namespace>/jobs/<name>`.
#pragma once
#include <optional>
#include <string>

namespace corkmux::kube {

/// The namespace and name by which clients identify an object.
struct ObjectId {
  std::string namespace_name;
  std::string name;
};

/// Returns the key of an object's record.
std::string object_key(const std::string& namespace_name, const std::string& name);
/// Returns the prefix of the keys of all objects of a namespace.
std::string objects_prefix(const std::string& namespace_name);
/// Parses the key of an object; nullopt if it is not such a key.
std::optional<ObjectId> parse_object_key(const std::string& key);

}  // namespace corkmux::kube
