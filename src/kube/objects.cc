#include "objects.h"

#include <algorithm>
#include <ctime>

#include "kube_constants.h"
#include "responder.h"

namespace corkmux::kube {
namespace c = constants;
namespace {

constexpr std::size_t kMaxObjectName = 63;  // bytes; tasks are named after it

}  // namespace

bool valid_name(const std::string& name) {
  // RFC 1123 subdomain; at most 63, since the tasks are named after it.
  if (name.empty() || name.size() > kMaxObjectName) return false;
  auto plain = [](char ch) { return (ch >= 'a' && ch <= 'z') || (ch >= '0' && ch <= '9'); };
  return plain(name.front()) && plain(name.back()) &&
         std::all_of(name.begin(), name.end(), [&](char ch) { return plain(ch) || ch == '-' || ch == '.'; });
}

std::string time_text(double since_1970) {
  auto seconds = static_cast<std::time_t>(since_1970);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char out[32];
  std::strftime(out, sizeof out, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return out;
}

std::map<std::string, std::string> labels_of(const Stored& stored) {
  std::map<std::string, std::string> out;
  auto labels = stored.metadata.find("labels");
  if (labels == stored.metadata.end() || !labels->is_object()) return out;
  for (const auto& [name, value] : labels->items())
    if (value.is_string()) out[name] = value.get<std::string>();
  return out;
}

int tasks_of(const Stored& stored) {
  auto completions = stored.spec.find("completions");
  bool given = completions != stored.spec.end() && completions->is_number_integer();
  return given ? completions->get<int>() : 1;
}

Json to_record(const Stored& stored) {
  return {
      {"f", 1},          {"u", stored.uid}, {"j", stored.job}, {"t", stored.created}, {"m", stored.metadata},
      {"s", stored.spec}};
}

std::optional<Stored> from_record(const Json& record) {
  if (!record.is_object() || record.value("f", 0) != 1) return std::nullopt;
  if (!record.contains("m") || !record.contains("s")) return std::nullopt;
  return Stored{record.value("u", ""), record.value("j", ""), record.value("t", 0.0), record.at("m"),
                record.at("s")};
}

namespace {

Json condition(const char* type, const std::string& reason, const std::string& message, double since) {
  Json out = {{"type", type}, {"status", "True"}, {"reason", reason}, {"message", message}};
  if (since > 0) out["lastTransitionTime"] = time_text(since);
  return out;
}

Json job_status(const Stored& stored, const Progress& progress) {
  Json status = {{"succeeded", progress.done}, {"failed", 0}};
  Json conditions = Json::array();
  switch (progress.phase) {
    case Progress::Phase::Unfinished:
      status["active"] = progress.tasks - progress.done;
      status["ready"] = progress.running;
      if (!progress.reason.empty())
        conditions.push_back(condition("corkmux.io/Waiting", "Waiting", progress.reason, 0));
      break;
    case Progress::Phase::Done:
      status["active"] = 0;
      status["succeeded"] = progress.tasks;
      if (progress.ended > 0) status["completionTime"] = time_text(progress.ended);
      conditions.push_back(condition("Complete", "CompletionsReached", "", progress.ended));
      break;
    case Progress::Phase::Cancelled:
      status["active"] = 0;
      conditions.push_back(condition("Failed", "Cancelled", "the job was cancelled", progress.ended));
      break;
  }
  if (!conditions.empty()) status["conditions"] = std::move(conditions);
  status["startTime"] = time_text(stored.created);
  return status;
}

}  // namespace

Json job_object(const Stored& stored, const std::string& space, const Progress& progress) {
  Json metadata = stored.metadata;
  metadata["namespace"] = space;
  metadata["uid"] = stored.uid;
  metadata["resourceVersion"] = std::to_string(progress.revision);
  metadata["generation"] = 1;
  metadata["creationTimestamp"] = time_text(stored.created);
  Json spec = stored.spec;
  spec["completions"] = progress.tasks;
  if (!spec.contains("parallelism")) spec["parallelism"] = progress.tasks;
  if (!spec.contains("completionMode")) spec["completionMode"] = "NonIndexed";
  return {{"apiVersion", "batch/v1"},
          {"kind", "Job"},
          {"metadata", std::move(metadata)},
          {"spec", std::move(spec)},
          {"status", job_status(stored, progress)}};
}

Json job_table(const std::vector<Json>& jobs, const Json& metadata, double now) {
  auto column = [](const char* name, const char* type, const char* what) {
    return Json{{"name", name}, {"type", type}, {"format", ""}, {"description", what}, {"priority", 0}};
  };
  Json rows = Json::array();
  for (const auto& job : jobs) {
    std::tm parts{};
    strptime(job.at("metadata").at("creationTimestamp").get_ref<const std::string&>().c_str(),
             "%Y-%m-%dT%H:%M:%SZ", &parts);
    auto age = static_cast<long>(std::max(0.0, now - static_cast<double>(timegm(&parts))));
    std::string done = std::to_string(job.at("status").value("succeeded", 0)) + "/" +
                       std::to_string(job.at("spec").value("completions", 1));
    rows.push_back({{"cells", {job.at("metadata").at("name"), done, std::to_string(age) + "s"}},
                    {"object",
                     {{"kind", "PartialObjectMetadata"},
                      {"apiVersion", "meta.k8s.io/v1"},
                      {"metadata", job.at("metadata")}}}});
  }
  return {{"kind", "Table"},
          {"apiVersion", "meta.k8s.io/v1"},
          {"metadata", metadata},
          {"columnDefinitions",
           {column("Name", "string", "name within the namespace"),
            column("Completions", "string", "tasks done of all"),
            column("Age", "string", "time since it was submitted")}},
          {"rows", std::move(rows)}};
}

Json status_object(const Failure& failure) {
  Json details = Json::object();
  if (!failure.name.empty()) details["name"] = failure.name;
  if (!failure.kind.empty()) {
    details["group"] = "batch";
    details["kind"] = failure.kind;
  }
  if (!failure.uid.empty()) details["uid"] = failure.uid;
  if (failure.code == 503 || failure.code == 429) details["retryAfterSeconds"] = c::kRetryAfter;
  for (const auto& cause : failure.causes)
    details["causes"].push_back(
        {{"reason", cause.reason}, {"message", cause.message}, {"field", cause.field}});
  Json out = {{"kind", "Status"},
              {"apiVersion", "v1"},
              {"metadata", Json::object()},
              {"status", failure.code < 300 ? "Success" : "Failure"},
              {"code", failure.code}};
  if (!failure.message.empty()) out["message"] = failure.message;
  if (!failure.reason.empty()) out["reason"] = failure.reason;
  if (!details.empty()) out["details"] = std::move(details);
  return out;
}

}  // namespace corkmux::kube
