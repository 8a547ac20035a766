// Label and field selectors of the Kubernetes API ("Labels and Selectors"; "Field Selectors").
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corkmux::kube {

struct Requirement {
  enum class Op { Exists, Absent, In, NotIn } op = Op::Exists;
  std::string key;
  std::vector<std::string> values;  // of In and NotIn; `=` and `!=` have one
};

/// All have to hold. An empty text selects everything; nullopt: not a selector.
std::optional<std::vector<Requirement>> parse_selector(std::string_view text);
bool selects(const std::vector<Requirement>& selector, const std::map<std::string, std::string>& labels);

}  // namespace corkmux::kube
