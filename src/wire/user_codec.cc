#include "user_codec.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include "name_table.h"
#include "wire_constants.h"
#include "wire_fields.h"
#include "wire_names.h"

namespace corkmux::codec {
namespace {

using namespace names;

constexpr std::string_view kJobPrefix = "run-";

const NameTable<JobKind> kKinds{
    {"batch", JobKind::Array}, {"group", JobKind::Gang}, {"standing", JobKind::Service}};
const NameTable<Priority> kPriorities{{"production", Priority::Production},
                                      {"high", Priority::High},
                                      {"normal", Priority::Normal},
                                      {"low", Priority::Low}};

template <typename Enum>
Enum need_enum(const Json& map, const char* name, const NameTable<Enum>& table) {
  auto value = from_name(table, need_text(map, name));
  if (!value) throw FieldError{name, "unknown"};
  return *value;
}

std::string need_job_id(const Json& body) {
  auto id = need_text(body, kJobId);
  if (!valid_job_id(id)) throw FieldError{kJobId, "not a job id"};
  return id;
}

int need_task_count(const Json& body) {
  const Json* count = field(body, kTaskCount);
  if (!count || !count->is_number_integer()) throw FieldError{kTaskCount, "missing or not an integer"};
  auto tasks = integer(body, kTaskCount);
  if (tasks < 1 || tasks > static_cast<std::uint64_t>(constants::kMaxTasks))
    throw FieldError{kTaskCount, "out of range"};
  return static_cast<int>(tasks);
}

Resources need_resources(const Json& body) {
  Resources need;
  need.cpus = need_amount(body, kCpus);
  need.gpus = need_amount(body, kGpus);
  need.memory_gb = need_amount(body, kMemoryGb);
  if (need.cpus + need.gpus + need.memory_gb <= 0) throw FieldError{kCpus, "a task takes nothing"};
  return need;
}

std::optional<std::vector<std::string>> parse_types(const Json& body) {
  const Json* list = field(body, kMachineTypes);
  if (!list) return std::nullopt;
  if (!list->is_array() || list->size() > constants::kMaxTypes) throw FieldError{kMachineTypes, "not a list"};
  std::vector<std::string> types;
  for (const auto& type : *list) {
    if (!type.is_string() || !is_valid_name(type.get_ref<const std::string&>()))
      throw FieldError{kMachineTypes, "not a list of texts"};
    types.push_back(type.get<std::string>());
  }
  return types;
}

/// Returns the dependencies without duplicates, in the order of the submission.
std::vector<std::string> parse_dependencies(const Json& body) {
  std::vector<std::string> dependencies;
  const Json* list = field(body, kDependencies);
  if (!list) return dependencies;
  if (!list->is_array()) throw FieldError{kDependencies, "not a list"};
  std::unordered_set<std::string> seen;
  for (const auto& item : *list) {
    if (!item.is_string() || !valid_job_id(item.get_ref<const std::string&>()))
      throw FieldError{kDependencies, "not a list of job ids"};
    auto id = item.get<std::string>();
    if (seen.insert(id).second) dependencies.push_back(std::move(id));
  }
  return dependencies;
}

/// Throws FieldError for the first invalid field, in the order of the checks below.
JobSpec need_job(const Json& body) {
  JobSpec job;
  job.id = need_job_id(body);
  job.job_class = need_text(body, kJobClass);
  job.team = need_text(body, kTeam);
  job.kind = need_enum(body, kJobKind, kKinds);
  job.priority = need_enum(body, kPriority, kPriorities);
  job.tasks = need_task_count(body);
  job.need = need_resources(body);
  job.image = need_text(body, kImage);
  job.image_gb = need_amount(body, kImageGb);
  job.types = parse_types(body);
  if (field(body, kZone)) job.zone = need_text(body, kZone);
  job.one_zone = need_flag(body, kOneZone);
  job.spread = need_flag(body, kSpread);
  job.spot = need_flag(body, kSpot);
  job.estimate_s = need_amount(body, kEstimate);
  job.checkpoint_s = need_amount(body, kCheckpoint);
  job.save_s = need_amount(body, kSaveTime);
  if (field(body, kDeadline)) job.deadline_s = need_amount(body, kDeadline);
  job.dependencies = parse_dependencies(body);
  return job;
}

bool is_job_id_character(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (id.size() <= kJobPrefix.size() || id.size() > constants::kMaxJobId) return false;
  if (id.substr(0, kJobPrefix.size()) != kJobPrefix) return false;
  auto rest = id.substr(kJobPrefix.size());
  return std::all_of(rest.begin(), rest.end(), is_job_id_character);
}

ParsedJob parse_job(const Json& body) {
  if (!body.is_object()) return {std::nullopt, {"", "the body is not a map"}};
  try {
    return {need_job(body), {}};
  } catch (const FieldError& error) {
    return {std::nullopt, error};
  }
}

Json job_to_wire(const JobSpec& job) {
  Json out = {{kJobId, job.id},
              {kJobClass, job.job_class},
              {kTeam, job.team},
              {kJobKind, to_name(kKinds, job.kind)},
              {kPriority, to_name(kPriorities, job.priority)},
              {kTaskCount, job.tasks},
              {kCpus, job.need.cpus},
              {kGpus, job.need.gpus},
              {kMemoryGb, job.need.memory_gb},
              {kImage, job.image},
              {kImageGb, job.image_gb},
              {kOneZone, job.one_zone},
              {kSpread, job.spread},
              {kSpot, job.spot},
              {kEstimate, job.estimate_s},
              {kCheckpoint, job.checkpoint_s},
              {kSaveTime, job.save_s}};
  if (job.types) out[kMachineTypes] = *job.types;
  if (job.zone) out[kZone] = *job.zone;
  if (job.deadline_s) out[kDeadline] = *job.deadline_s;
  if (!job.dependencies.empty()) out[kDependencies] = job.dependencies;
  return out;
}

Json view_to_wire(const JobView& view, bool with_counts) {
  Json out = {{kJobId, view.id}, {kPhase, view.phase}};
  if (with_counts) {
    out[kDone] = view.done;
    out[kRunning] = view.running;
  }
  if (!view.reason.empty()) out[kReason] = view.reason;
  return out;
}

Json error_to_wire(std::string_view text) { return {{kError, std::string(text)}}; }
Json error_to_wire(const FieldError& error) { return error_to_wire(error.text()); }

Routed route(std::string_view method, std::string_view target) {
  constexpr std::string_view kJobPath = "/work/";
  constexpr std::string_view kCancelSuffix = "/withdraw";
  auto path = target.substr(0, target.find('?'));
  auto only = [method](std::string_view expected, Route route) {
    return method == expected ? route : Route::WrongMethod;
  };
  if (path == "/ready") return {only("GET", Route::Ready)};
  if (path == "/v1/report") return {only("POST", Route::Heartbeat)};
  if (path == "/work") return {only("POST", Route::Submit)};
  if (path.substr(0, kJobPath.size()) != kJobPath) return {};
  auto rest = path.substr(kJobPath.size());
  if (rest.size() > kCancelSuffix.size() && rest.ends_with(kCancelSuffix))
    return {only("POST", Route::Cancel), std::string(rest.substr(0, rest.size() - kCancelSuffix.size()))};
  if (rest.empty() || rest.find('/') != std::string_view::npos) return {};
  return {only("GET", Route::Query), std::string(rest)};
}

}  // namespace corkmux::codec
