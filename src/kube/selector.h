// Label and field selectors of the Kubernetes API ("Labels and Selectors"; "Field Selectors").
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corkmux::kube {

/// What a selector asks of one label or field.
struct Requirement {
  enum class Operator { Exists, Absent, In, NotIn };
  Operator op = Operator::Exists;
  std::string key;
  std::vector<std::string> values;  // of In and NotIn; `=` and `!=` have one
};

/// The requirements of a selector. An empty text has none; nullopt: not a selector.
std::optional<std::vector<Requirement>> parse_selector(std::string_view text);
/// Whether all requirements hold of the labels, so that no requirement selects everything.
bool selects(const std::vector<Requirement>& selector, const std::map<std::string, std::string>& labels);

}  // namespace corkmux::kube
