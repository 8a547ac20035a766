// Splits the target of an HTTP request into path and query.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corkmux::kube {

/// Returns the path: the text before the question mark, without trailing slashes.
std::string target_path(std::string_view target);
/// Returns the parameters of the query, with percent-decoded values. nullopt if a value is not validly
/// percent-encoded.
std::optional<std::map<std::string, std::string>> target_query(std::string_view target);
/// Returns the non-empty parts of the text between separators.
std::vector<std::string> split(std::string_view text, char separator);

}  // namespace corkmux::kube
