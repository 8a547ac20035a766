#include "objects.h"

#include <algorithm>
#include <ctime>

#include "job_record.h"
#include "responder.h"

namespace corkmux::kube {
namespace c = constants;
namespace {

constexpr std::size_t kMaxObjectName = 63;  // bytes; task names derive from the object's name

}  // namespace

bool valid_name(const std::string& name) {
  // An RFC 1123 subdomain, limited to 63 bytes because task names derive from it.
  if (name.empty() || name.size() > kMaxObjectName) return false;
  auto is_alphanumeric = [](char ch) { return (ch >= 'a' && ch <= 'z') || (ch >= '0' && ch <= '9'); };
  auto is_allowed = [&](char ch) { return is_alphanumeric(ch) || ch == '-' || ch == '.'; };
  return is_alphanumeric(name.front()) && is_alphanumeric(name.back()) &&
         std::all_of(name.begin(), name.end(), is_allowed);
}

std::string format_time(double since_1970) {
  auto seconds = static_cast<std::time_t>(since_1970);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char out[32];
  std::strftime(out, sizeof out, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return out;
}

std::string name_of(const StoredObject& stored) {
  auto name = stored.metadata.find("name");
  return name != stored.metadata.end() && name->is_string() ? name->get<std::string>() : "";
}

std::map<std::string, std::string> labels_of(const StoredObject& stored) {
  std::map<std::string, std::string> texts;
  auto labels = stored.metadata.find("labels");
  if (labels == stored.metadata.end() || !labels->is_object()) return texts;
  for (const auto& [name, value] : labels->items())
    if (value.is_string()) texts[name] = value.get<std::string>();
  return texts;
}

int task_count(const StoredObject& stored) {
  auto completions = stored.spec.find("completions");
  bool given = completions != stored.spec.end() && completions->is_number_integer();
  return given ? completions->get<int>() : 1;
}

Json to_record(const StoredObject& stored) {
  return {
      {"f", 1},          {"u", stored.uid}, {"j", stored.job}, {"t", stored.created}, {"m", stored.metadata},
      {"s", stored.spec}};
}

std::optional<StoredObject> parse_record(const Json& record) {
  if (!record.is_object() || record.value("f", 0) != 1) return std::nullopt;
  if (!record.contains("m") || !record.contains("s")) return std::nullopt;
  return StoredObject{record.value("u", ""), record.value("j", ""), record.value("t", 0.0), record.at("m"),
                      record.at("s")};
}

namespace {

Json condition(const char* type, const std::string& reason, const std::string& message,
               std::optional<double> since) {
  Json out = {{"type", type}, {"status", "True"}, {"reason", reason}, {"message", message}};
  if (since) out["lastTransitionTime"] = format_time(*since);
  return out;
}

Json job_status(const StoredObject& stored, const Progress& progress) {
  Json status = {{"succeeded", progress.done}, {"failed", 0}};
  Json conditions = Json::array();
  switch (progress.phase) {
    case Progress::Phase::Unfinished:
      status["active"] = progress.tasks - progress.done;
      status["ready"] = progress.running;
      if (!progress.reason.empty())
        conditions.push_back(condition("corkmux.io/Waiting", "Waiting", progress.reason, std::nullopt));
      break;
    case Progress::Phase::Done:
      status["active"] = 0;
      status["succeeded"] = progress.tasks;
      if (progress.ended_at) status["completionTime"] = format_time(*progress.ended_at);
      conditions.push_back(condition("Complete", "CompletionsReached", "", progress.ended_at));
      break;
    case Progress::Phase::Cancelled:
      status["active"] = 0;
      conditions.push_back(condition("Failed", "Cancelled", "the job was cancelled", progress.ended_at));
      break;
  }
  if (!conditions.empty()) status["conditions"] = std::move(conditions);
  status["startTime"] = format_time(stored.created);
  return status;
}

}  // namespace

void apply_outcome(Progress& progress, const JobOutcomeRecord& outcome) {
  progress.phase = outcome.phase == job_phase::kDone ? Progress::Phase::Done : Progress::Phase::Cancelled;
  progress.ended_at = outcome.ended_at;
}

Json job_object(const StoredObject& stored, const std::string& namespace_name, const Progress& progress) {
  Json metadata = stored.metadata;
  metadata["namespace"] = namespace_name;
  metadata["uid"] = stored.uid;
  metadata["resourceVersion"] = std::to_string(progress.revision);
  metadata["generation"] = 1;
  metadata["creationTimestamp"] = format_time(stored.created);
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

Json status_object(const ApiStatus& status) {
  Json details = Json::object();
  if (!status.name.empty()) details["name"] = status.name;
  if (!status.kind.empty()) {
    details["group"] = "batch";
    details["kind"] = status.kind;
  }
  if (!status.uid.empty()) details["uid"] = status.uid;
  if (status.code == 503 || status.code == 429) details["retryAfterSeconds"] = c::kRetryAfter;
  for (const auto& cause : status.causes)
    details["causes"].push_back(
        {{"reason", cause.reason}, {"message", cause.message}, {"field", cause.field}});
  Json out = {{"kind", "Status"},
              {"apiVersion", "v1"},
              {"metadata", Json::object()},
              {"status", status.code < 300 ? "Success" : "Failure"},
              {"code", status.code}};
  if (!status.message.empty()) out["message"] = status.message;
  if (!status.reason.empty()) out["reason"] = status.reason;
  if (!details.empty()) out["details"] = std::move(details);
  return out;
}

}  // namespace corkmux::kube
