// Label and field selectors of the Kubernetes API ("Labels and Selectors"; "Field Selectors").
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corkmux::kube {

/// The requirement of a selector on one label or field.
struct Requirement {
  enum class Operator { Exists, Absent, In, NotIn };
  Operator op = Operator::Exists;
  std::string key;
  std::vector<std::string> values;  // of In and NotIn; exactly one for `=` and `!=`
};

/// Parses a selector into its requirements. An empty text has none; nullopt if the text is not a selector.
std::optional<std::vector<Requirement>> parse_selector(std::string_view text);
/// Returns whether the labels meet all requirements. A selector without requirements selects everything.
bool selects(const std::vector<Requirement>& selector, const std::map<std::string, std::string>& labels);

}  // namespace corkmux::kube
