// The target of an HTTP request, taken apart.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corkmux::kube {

/// What stands before the question mark, without slashes at its end.
std::string target_path(std::string_view target);
/// What stands behind it, percent-decoded. nullopt: not a percent-encoding.
std::optional<std::map<std::string, std::string>> target_query(std::string_view target);
/// The parts between separators; empty ones are left out.
std::vector<std::string> split(std::string_view text, char separator);

}  // namespace corkmux::kube
