// Discovery documents: the versions, groups and resources of the API, which clients read first.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace corkmux::kube {

inline constexpr const char* kBatchPath = "/apis/batch/v1";

/// Returns whether the path is a health probe (readiness or liveness).
bool is_probe(const std::string& path);
/// Returns the discovery document at the path; nullopt if there is none.
std::optional<nlohmann::json> discovery_document(const std::string& path);

}  // namespace corkmux::kube
