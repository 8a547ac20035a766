// Selects the objects of a list or a watch.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "selector.h"

namespace corkmux::kube {

/// The namespace of a request and its label and field selectors.
struct ObjectFilter {
  std::string namespace_name;
  std::optional<std::string> name;  // required by a field selector; nullopt: any
  std::vector<Requirement> labels;

  /// Returns whether the filter selects the object, which must be in the filter's namespace.
  bool selects(const std::string& object_name, const std::map<std::string, std::string>& object_labels) const;
};

}  // namespace corkmux::kube
