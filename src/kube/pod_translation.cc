#include "pod_translation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

#include "field_reader.h"
#include "quantity.h"

namespace corkmux::kube {
namespace {

constexpr const char* kAccelerator = "corkmux.io/accelerator";
constexpr const char* kZoneLabel = "topology.kubernetes.io/zone";
constexpr const char* kTypeLabel = "node.kubernetes.io/instance-type";
constexpr double kBytesPerGb = 1e9;
constexpr double kAmountTolerance = 1e-9;  // relative; spellings of one amount may differ so much

std::string quantity_text(const Json& value) {
  if (value.is_string()) return value.get<std::string>();
  return value.is_number() ? value.dump() : "";
}

/// Reads the `resources` of a container.
class ResourceReader {
 public:
  ResourceReader(const Json& resources, const std::string& container_path, std::vector<Cause>& causes)
      : path_(container_path + ".resources"), causes_(causes) {
    FieldReader fields(resources, path_, causes);
    requests_ = fields.get("requests");
    limits_ = fields.get("limits");
    fields.refuse_rest("not supported");
  }

  Resources read() {
    refuse_unknown(requests_);
    refuse_unknown(limits_);
    Resources need;
    need.cpus = amount("cpu");
    need.gpus = amount(kAccelerator);
    need.memory_gb = amount("memory") / kBytesPerGb;
    return need;
  }

 private:
  void refuse_unknown(const Json* amounts) {
    if (!amounts) return;
    for (const auto& [name, value] : amounts->items())
      if (name != "cpu" && name != "memory" && name != kAccelerator)
        causes_.push_back({path_, name + ": no such resource here; there are cpu, memory and " + kAccelerator,
                           kNotSupported});
  }

  std::optional<double> amount_in(const Json* amounts, const std::string& name) {
    if (!amounts || !amounts->is_object() || !amounts->contains(name)) return std::nullopt;
    auto parsed = parse_quantity(quantity_text(amounts->at(name)));
    if (!parsed) causes_.push_back({path_, name + ": not a quantity"});
    return parsed;
  }

  /// Returns the requested amount of a resource, 0 if none is requested. A task gets exactly what it
  /// requests, so a limit must equal the request.
  double amount(const std::string& name) {
    auto request = amount_in(requests_, name);
    auto limit = amount_in(limits_, name);
    if (request && limit && std::abs(*request - *limit) > kAmountTolerance * std::max(1.0, *request))
      causes_.push_back({path_ + ".limits." + name, "has to be what is requested: a task gets exactly that",
                         kNotSupported});
    return request ? *request : limit.value_or(0);
  }

  std::string path_;
  std::vector<Cause>& causes_;
  const Json* requests_ = nullptr;
  const Json* limits_ = nullptr;
};

void read_resources(const Json& container, const std::string& path, JobTranslation& translation) {
  auto& causes = translation.causes;
  Resources& need = translation.job.need;
  need = ResourceReader(member_or_empty(container, "resources"), path, causes).read();
  const std::string requests_path = path + ".resources.requests";
  if (need.cpus <= 0) causes.push_back({requests_path + ".cpu", "has to be given, above 0", kRequired});
  if (need.gpus != std::floor(need.gpus))
    causes.push_back({requests_path, std::string(kAccelerator) + ": has to be a whole number"});
}

void read_node_selector(FieldReader& pod, JobTranslation& translation) {
  const Json* selector = pod.get("nodeSelector");
  if (!selector) return;
  if (!selector->is_object()) pod.add_invalid("nodeSelector", "not an object");
  const std::string path = pod.path_of("nodeSelector");
  for (const auto& [name, value] : selector->items()) {
    if (!value.is_string())
      translation.causes.push_back({path, name + ": not a text"});
    else if (name == kZoneLabel)
      translation.job.zone = value.get<std::string>();
    else if (name == kTypeLabel)
      translation.job.types = std::vector<std::string>{value.get<std::string>()};
    else
      translation.causes.push_back({path, name + ": machines have no such label", kNotSupported});
  }
}

std::string toleration_key(const Json& toleration) {
  const bool has_key = toleration.is_object() && toleration.contains("key") && toleration["key"].is_string();
  return has_key ? toleration["key"].get<std::string>() : "";
}

void read_tolerations(FieldReader& pod, JobTranslation& translation) {
  const Json* tolerations = pod.get("tolerations");
  if (!tolerations) return;
  if (!tolerations->is_array()) pod.add_invalid("tolerations", "not a list");
  for (const auto& toleration : *tolerations) {
    const std::string key = toleration_key(toleration);
    if (key == std::string(kCorkmuxPrefix) + "spot")
      translation.job.spot = true;
    else
      translation.warnings.push_back("toleration of " + (key.empty() ? "everything" : key) +
                                     " has no effect");
  }
}

void read_priority(FieldReader& pod, JobSpec& job) {
  static const std::map<std::string, Priority> kPriorityClasses{{"low", Priority::Low},
                                                                {"normal", Priority::Normal},
                                                                {"high", Priority::High},
                                                                {"production", Priority::Production}};
  job.priority = Priority::Normal;
  const std::string name = pod.text("priorityClassName");
  if (name.empty()) return;
  auto known = kPriorityClasses.find(name);
  if (known == kPriorityClasses.end())
    pod.add_invalid("priorityClassName", "not one of low, normal, high, production");
  else
    job.priority = known->second;
}

void read_container(const Json& container, const std::string& path, JobTranslation& translation) {
  FieldReader fields(container, path, translation.causes);
  if (fields.text("name").empty()) fields.add_missing("name", "has to be given");
  translation.job.image = fields.text("image");
  if (translation.job.image.empty()) fields.add_missing("image", "has to be given");
  fields.get("resources");
  if (fields.get("imagePullPolicy"))
    translation.warnings.push_back(fields.path_of("imagePullPolicy") + " has no effect");
  fields.refuse_rest("not supported: workers start an image as it is");
  if (container.is_object()) read_resources(container, path, translation);
}

void read_containers(FieldReader& pod, JobTranslation& translation) {
  const Json* containers = pod.get("containers");
  if (!containers || !containers->is_array() || containers->size() != 1)
    return pod.add_invalid("containers", "has to hold exactly one container");
  read_container(containers->front(), pod.path_of("containers[0]"), translation);
}

}  // namespace

void read_pod(const Json& pod_spec, const std::string& path, JobTranslation& translation) {
  FieldReader pod(pod_spec, path, translation.causes);
  const std::string restart_policy = pod.text("restartPolicy");
  if (restart_policy != "Never" && restart_policy != "OnFailure")
    pod.add_invalid("restartPolicy", "has to be Never or OnFailure; what fails is started again elsewhere");
  read_node_selector(pod, translation);
  read_tolerations(pod, translation);
  read_priority(pod, translation.job);
  read_containers(pod, translation);
  for (const char* name : {"terminationGracePeriodSeconds", "dnsPolicy", "schedulerName", "securityContext"})
    if (pod.get(name)) translation.warnings.push_back(pod.path_of(name) + " has no effect");
  pod.refuse_rest("not supported");
}

}  // namespace corkmux::kube
