// What the API tells of itself: the documents that clients read before anything else.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace corkmux::kube {

inline constexpr const char* kBatchPath = "/apis/batch/v1";

/// Paths that only tell whether the server is ready.
bool is_probe(const std::string& path);
/// nullopt: there is none at that path.
std::optional<nlohmann::json> discovery_document(const std::string& path);

}  // namespace corkmux::kube
