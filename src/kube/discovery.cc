#include "discovery.h"

namespace corkmux::kube {
namespace {

using Json = nlohmann::json;

/// Clients expect all of these fields. Most describe a build of Kubernetes and stay empty.
Json version_document() {
  return {{"major", "1"},    {"minor", "28"},      {"gitVersion", "v1.28.0-corkmux"},
          {"gitCommit", ""}, {"gitTreeState", ""}, {"buildDate", ""},
          {"goVersion", ""}, {"compiler", ""},     {"platform", ""}};
}

Json batch_group() {
  Json version = {{"groupVersion", "batch/v1"}, {"version", "v1"}};
  return {{"name", "batch"}, {"versions", {version}}, {"preferredVersion", version}};
}

Json batch_group_document() {
  Json group = batch_group();
  group["kind"] = "APIGroup";
  group["apiVersion"] = "v1";
  return group;
}

Json batch_resources_document() {
  return {{"kind", "APIResourceList"},
          {"apiVersion", "v1"},
          {"groupVersion", "batch/v1"},
          {"resources",
           {{{"name", "jobs"},
             {"singularName", "job"},
             {"namespaced", true},
             {"kind", "Job"},
             {"verbs", {"create", "delete", "get", "list", "watch"}}}}}};
}

}  // namespace

bool is_probe(const std::string& path) { return path == "/readyz" || path == "/livez" || path == "/healthz"; }

std::optional<Json> discovery_document(const std::string& path) {
  if (path == "/version") return version_document();
  if (path == "/api") return Json{{"kind", "APIVersions"}, {"versions", {"v1"}}};
  if (path == "/api/v1")
    return Json{{"kind", "APIResourceList"}, {"groupVersion", "v1"}, {"resources", Json::array()}};
  const Json group = batch_group();
  if (path == "/apis") return Json{{"kind", "APIGroupList"}, {"apiVersion", "v1"}, {"groups", {group}}};
  if (path == "/apis/batch") return batch_group_document();
  if (path == kBatchPath) return batch_resources_document();
  return std::nullopt;
}

}  // namespace corkmux::kube
