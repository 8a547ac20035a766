// Which objects a list or a watch is about.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "selector.h"

namespace corkmux::kube {

/// A namespace and what the label and field selectors of a request ask for.
struct ObjectFilter {
  std::string namespace_name;
  std::optional<std::string> name;  // that a field selector asks for; none: any
  std::vector<Requirement> labels;

  /// Whether it selects an object of its namespace.
  bool selects(const std::string& object_name, const std::map<std::string, std::string>& object_labels) const;
};

}  // namespace corkmux::kube
