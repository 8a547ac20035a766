#include "objects.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <set>

#include "kube_constants.h"
#include "quantity.h"
#include "responder.h"
#include "wire_constants.h"

namespace corkmux::kube {
namespace c = constants;
namespace {

constexpr const char* kPrefix = "corkmux.io/";
constexpr const char* kGpu = "corkmux.io/accelerator";

/// Walks an object field by field and notes what is wrong; what nobody has asked for at the end is refused.
class Fields {
 public:
  Fields(const Json& object, std::string path, std::vector<Cause>& causes)
      : object_(object.is_object() ? object : kNothing), path_(std::move(path)), causes_(causes) {
    if (!object.is_null() && !object.is_object()) wrong("", "not an object");
  }
  const Json* get(const std::string& name) {
    seen_.insert(name);
    auto it = object_.find(name);
    return it == object_.end() || it->is_null() ? nullptr : &*it;
  }
  std::string text(const std::string& name) {
    const Json* j = get(name);
    if (!j) return "";
    if (!j->is_string()) return wrong(name, "not a text"), "";
    return j->get<std::string>();
  }
  std::optional<int> count(const std::string& name, int least, int most) {
    const Json* j = get(name);
    if (!j) return std::nullopt;
    if (j->is_number_integer() && *j >= least && *j <= most) return j->get<int>();
    wrong(name, "not a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return std::nullopt;
  }
  void refuse(const std::string& name, const std::string& why) {
    if (get(name)) causes_.push_back({at(name), why, "FieldValueNotSupported"});
  }
  void wrong(const std::string& name, const std::string& why) { causes_.push_back({at(name), why}); }
  void missing(const std::string& name, const std::string& why) {
    causes_.push_back({at(name), why, "FieldValueRequired"});
  }
  /// Empty objects and lists mean nothing, so they may stay.
  void refuse_rest(const std::string& why) {
    for (const auto& [name, value] : object_.items())
      if (!seen_.count(name) && !value.is_null() && !(value.is_structured() && value.empty()))
        causes_.push_back({at(name), why, "FieldValueNotSupported"});
  }
  std::string at(const std::string& name) const {
    return name.empty() ? path_ : path_.empty() ? name : path_ + "." + name;
  }
  const Json& object() const { return object_; }

 private:
  inline static const Json kNothing = Json::object();
  const Json& object_;
  std::string path_;
  std::vector<Cause>& causes_;
  std::set<std::string> seen_;
};

std::string quantity_text(const Json& j) {
  return j.is_string() ? j.get<std::string>() : j.is_number() ? j.dump() : "";
}

void read_resources(const Json& container, const std::string& path, JobSpec& job,
                    std::vector<Cause>& causes) {
  const Json none = Json::object();
  Fields fields(container.contains("resources") ? container.at("resources") : none, path + ".resources",
                causes);
  const Json* requests = fields.get("requests");
  const Json* limits = fields.get("limits");
  fields.refuse_rest("not supported");
  auto read = [&](const Json* list, const std::string& name) -> std::optional<double> {
    if (!list || !list->is_object() || !list->contains(name)) return std::nullopt;
    auto amount = parse_quantity(quantity_text(list->at(name)));
    if (!amount) causes.push_back({path + ".resources", name + ": not a quantity"});
    return amount;
  };
  for (const auto* list : {requests ? requests : &none, limits ? limits : &none})
    for (const auto& [name, value] : list->items())
      if (name != "cpu" && name != "memory" && name != kGpu)
        causes.push_back({path + ".resources",
                          name + ": no such resource here; there are cpu, memory and " + kGpu,
                          "FieldValueNotSupported"});
  auto amount = [&](const std::string& name) {
    auto asked = read(requests, name), most = read(limits, name);
    // The platform gives a task exactly what it asks for.
    if (asked && most && std::abs(*asked - *most) > 1e-9 * std::max(1.0, *asked))
      causes.push_back({path + ".resources.limits." + name,
                        "has to be what is requested: a task gets exactly that", "FieldValueNotSupported"});
    return asked ? *asked : most.value_or(0);
  };
  job.need = {amount("cpu"), amount(kGpu), amount("memory") / 1e9};
  if (job.need.cpus <= 0)
    causes.push_back({path + ".resources.requests.cpu", "has to be given, above 0", "FieldValueRequired"});
  if (job.need.gpus != std::floor(job.need.gpus))
    causes.push_back({path + ".resources.requests", std::string(kGpu) + ": has to be a whole number"});
}

void read_placement(Fields& pod, JobSpec& job, std::vector<Cause>& causes,
                    std::vector<std::string>& warnings) {
  if (const Json* selector = pod.get("nodeSelector")) {
    if (!selector->is_object()) pod.wrong("nodeSelector", "not an object");
    for (const auto& [name, value] : selector->items()) {
      std::string where = pod.at("nodeSelector");
      if (!value.is_string())
        causes.push_back({where, name + ": not a text"});
      else if (name == "topology.kubernetes.io/zone")
        job.zone = value.get<std::string>();
      else if (name == "node.kubernetes.io/instance-type")
        job.types = std::vector<std::string>{value.get<std::string>()};
      else
        causes.push_back({where, name + ": machines have no such label", "FieldValueNotSupported"});
    }
  }
  if (const Json* tolerations = pod.get("tolerations")) {
    if (!tolerations->is_array()) pod.wrong("tolerations", "not a list");
    for (const auto& t : *tolerations) {
      std::string key =
          t.is_object() && t.contains("key") && t["key"].is_string() ? t["key"].get<std::string>() : "";
      if (key == std::string(kPrefix) + "spot")
        job.spot = true;
      else
        warnings.push_back("toleration of " + (key.empty() ? "everything" : key) + " has no effect");
    }
  }
  static const std::map<std::string, Priority> kClasses{{"low", Priority::Low},
                                                        {"normal", Priority::Normal},
                                                        {"high", Priority::High},
                                                        {"production", Priority::Production}};
  job.priority = Priority::Normal;
  if (auto name = pod.text("priorityClassName"); !name.empty()) {
    auto it = kClasses.find(name);
    if (it == kClasses.end())
      pod.wrong("priorityClassName", "not one of low, normal, high, production");
    else
      job.priority = it->second;
  }
}

/// The project's own terms, by annotation.
void read_annotations(const Json& object, JobSpec& job, std::vector<Cause>& causes) {
  const Json none = Json::object();
  const Json& metadata = object.contains("metadata") ? object.at("metadata") : none;
  Fields own(metadata.is_object() && metadata.contains("annotations") ? metadata.at("annotations") : none,
             "metadata.annotations", causes);
  auto text = [&](const char* name) { return own.text(std::string(kPrefix) + name); };
  auto number = [&](const char* name, double& into) {
    auto value = text(name);
    if (value.empty()) return;
    auto amount = parse_quantity(value);
    if (amount && *amount <= c::kKubeMostAmount)
      into = *amount;
    else
      own.wrong(std::string(kPrefix) + name, "not a number from 0 on");
  };
  auto flag = [&](const char* name, bool& into) {
    auto value = text(name);
    into = value == "true";
    if (!value.empty() && value != "true" && value != "false")
      own.wrong(std::string(kPrefix) + name, "neither true nor false");
  };
  bool gang = false;
  job.job_class = text("class");
  if (job.job_class.empty()) job.job_class = "kubernetes";
  flag("gang", gang);
  if (gang) job.kind = JobKind::Gang;
  flag("one-zone", job.one_zone);
  flag("spread", job.spread);
  number("image-gb", job.image_gb);
  number("estimate-s", job.estimate_s);
  number("checkpoint-s", job.checkpoint_s);
  number("save-s", job.save_s);
  double deadline = -1;
  number("deadline-s", deadline);
  if (deadline >= 0) job.deadline_s = deadline;
  if (job.one_zone && job.spread)
    own.wrong(std::string(kPrefix) + "spread", "cannot be kept together with one-zone");
  for (const auto& [name, value] : own.object().items())
    if (name.rfind(kPrefix, 0) == 0) {
      static const std::set<std::string> kKnown{"class",        "gang",     "one-zone",
                                                "spread",       "image-gb", "estimate-s",
                                                "checkpoint-s", "save-s",   "deadline-s"};
      if (!kKnown.count(name.substr(std::string(kPrefix).size())))
        causes.push_back({"metadata.annotations", name + ": not known", "FieldValueNotSupported"});
    }
}

void read_pod(const Json& pod_spec, const std::string& path, JobSpec& job, std::vector<Cause>& causes,
              std::vector<std::string>& warnings) {
  Fields pod(pod_spec, path, causes);
  auto restart = pod.text("restartPolicy");
  if (restart != "Never" && restart != "OnFailure")
    pod.wrong("restartPolicy", "has to be Never or OnFailure; what fails is started again elsewhere");
  read_placement(pod, job, causes, warnings);
  const Json* containers = pod.get("containers");
  if (!containers || !containers->is_array() || containers->size() != 1) {
    pod.wrong("containers", "has to hold exactly one container");
  } else {
    const std::string where = pod.at("containers[0]");
    Fields container(containers->front(), where, causes);
    if (auto name = container.text("name"); name.empty()) container.missing("name", "has to be given");
    job.image = container.text("image");
    if (job.image.empty()) container.missing("image", "has to be given");
    container.get("resources");
    if (container.get("imagePullPolicy"))
      warnings.push_back(container.at("imagePullPolicy") + " has no effect");
    container.refuse_rest("not supported: workers start an image as it is");
    if (containers->front().is_object()) read_resources(containers->front(), where, job, causes);
  }
  for (const char* name : {"terminationGracePeriodSeconds", "dnsPolicy", "schedulerName", "securityContext"})
    if (pod.get(name)) warnings.push_back(pod.at(name) + " has no effect");
  pod.refuse_rest("not supported");
}

}  // namespace

bool valid_name(const std::string& name) {
  // RFC 1123 subdomain; at most 63, since the tasks are named after it.
  if (name.empty() || name.size() > 63) return false;
  auto plain = [](char ch) { return (ch >= 'a' && ch <= 'z') || (ch >= '0' && ch <= '9'); };
  return plain(name.front()) && plain(name.back()) &&
         std::all_of(name.begin(), name.end(), [&](char ch) { return plain(ch) || ch == '-' || ch == '.'; });
}

std::string time_text(double at) {
  auto t = static_cast<std::time_t>(at);
  std::tm parts{};
  gmtime_r(&t, &parts);
  char out[32];
  std::strftime(out, sizeof out, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return out;
}

std::vector<Cause> check_metadata(const Json& object, const std::string& space) {
  std::vector<Cause> causes;
  const Json none = Json::object();
  Fields metadata(object.contains("metadata") ? object.at("metadata") : none, "metadata", causes);
  auto name = metadata.text("name"), prefix = metadata.text("generateName");
  if (name.empty() && prefix.empty()) metadata.missing("name", "name or generateName has to be given");
  if (!name.empty() && !valid_name(name))
    metadata.wrong("name", "has to be lower case letters, digits, '-' and '.', at most 63 of them");
  if (name.empty() && !prefix.empty() && !valid_name(prefix.substr(0, 58) + "x"))
    metadata.wrong("generateName", "has to begin a name: lower case letters, digits, '-' and '.'");
  if (auto other = metadata.text("namespace"); !other.empty() && other != space)
    metadata.wrong("namespace", "does not match the namespace of the request");
  for (const char* field : {"labels", "annotations"})
    if (const Json* map = metadata.get(field)) {
      bool texts = map->is_object() &&
                   std::all_of(map->begin(), map->end(), [](const Json& v) { return v.is_string(); });
      if (!texts) metadata.wrong(field, "not a map of texts");
    }
  metadata.refuse("finalizers", "not supported");
  metadata.refuse("ownerReferences", "not supported");
  return causes;
}

Translated translate_job(const Json& object) {
  Translated out;
  auto& causes = out.causes;
  JobSpec& job = out.job;
  const Json none = Json::object();
  Fields spec(object.contains("spec") ? object.at("spec") : none, "spec", causes);
  auto parallelism = spec.count("parallelism", 0, c::kMaxTasks);
  auto completions = spec.count("completions", 1, c::kMaxTasks);
  job.tasks = completions.value_or(1);
  if (!completions && parallelism.value_or(1) != 1)
    spec.wrong("completions",
               "has to be given: work queues without a number of completions are not supported");
  if (completions && parallelism && *parallelism < *completions)
    spec.wrong("parallelism",
               "below completions: tasks are started as machines, limits and guarantees allow");
  if (auto mode = spec.text("completionMode"); !mode.empty() && mode != "NonIndexed" && mode != "Indexed")
    spec.wrong("completionMode", "neither NonIndexed nor Indexed");
  if (auto limit = spec.count("backoffLimit", 0, 2147483647); limit && *limit != 2147483647)
    spec.wrong(
        "backoffLimit",
        "tasks that fail are started again, with pauses, until the job is done or deleted; leave it out");
  if (const Json* suspend = spec.get("suspend"); suspend && *suspend != false)
    spec.wrong("suspend", "not supported: a job waits from its submission on");
  for (const char* name :
       {"ttlSecondsAfterFinished", "activeDeadlineSeconds", "podFailurePolicy", "backoffLimitPerIndex",
        "maxFailedIndexes", "selector", "manualSelector", "podReplacementPolicy"})
    spec.refuse(name, "not supported");
  const Json* pod_template = spec.get("template");
  spec.refuse_rest("not known");
  if (!pod_template) {
    spec.missing("template", "has to be given");
  } else {
    Fields t(*pod_template, "spec.template", causes);
    t.get("metadata");
    const Json* pod = t.get("spec");
    if (pod)
      read_pod(*pod, "spec.template.spec", job, causes, out.warnings);
    else
      t.missing("spec", "has to be given");
  }
  read_annotations(object, job, causes);
  if (job.kind == JobKind::Array && (job.one_zone || job.spread) && job.tasks == 1)
    out.warnings.push_back("one-zone and spread have no effect on a single task");
  return out;
}

std::map<std::string, std::string> labels_of(const Stored& s) {
  std::map<std::string, std::string> out;
  if (auto l = s.metadata.find("labels"); l != s.metadata.end() && l->is_object())
    for (const auto& [name, value] : l->items())
      if (value.is_string()) out[name] = value.get<std::string>();
  return out;
}

int tasks_of(const Stored& s) {
  auto n = s.spec.find("completions");
  return n != s.spec.end() && n->is_number_integer() ? n->get<int>() : 1;
}

Json to_record(const Stored& s) {
  return {{"f", 1}, {"u", s.uid}, {"j", s.job}, {"t", s.created}, {"m", s.metadata}, {"s", s.spec}};
}

std::optional<Stored> from_record(const Json& r) {
  if (!r.is_object() || r.value("f", 0) != 1 || !r.contains("m") || !r.contains("s")) return std::nullopt;
  return Stored{r.value("u", ""), r.value("j", ""), r.value("t", 0.0), r.at("m"), r.at("s")};
}

Json job_object(const Stored& s, const std::string& space, const Progress& p) {
  Json metadata = s.metadata;
  metadata["namespace"] = space;
  metadata["uid"] = s.uid;
  metadata["resourceVersion"] = std::to_string(p.revision);
  metadata["generation"] = 1;
  metadata["creationTimestamp"] = time_text(s.created);
  Json spec = s.spec;
  spec["completions"] = p.tasks;
  if (!spec.contains("parallelism")) spec["parallelism"] = p.tasks;
  if (!spec.contains("completionMode")) spec["completionMode"] = "NonIndexed";
  Json status = {{"succeeded", p.done}, {"failed", 0}};
  Json conditions = Json::array();
  auto condition = [&](const char* type, const std::string& reason, const std::string& message, double at) {
    Json out = {{"type", type}, {"status", "True"}, {"reason", reason}, {"message", message}};
    if (at > 0) out["lastTransitionTime"] = time_text(at);
    conditions.push_back(std::move(out));
  };
  using Phase = Progress::Phase;
  if (p.phase == Phase::Unfinished) {
    status["active"] = p.tasks - p.done;
    status["ready"] = p.running;
    if (!p.reason.empty()) condition("corkmux.io/Waiting", "Waiting", p.reason, 0);
  } else if (p.phase == Phase::Done) {
    status["active"] = 0;
    status["succeeded"] = p.tasks;
    if (p.ended > 0) status["completionTime"] = time_text(p.ended);
    condition("Complete", "CompletionsReached", "", p.ended);
  } else {
    status["active"] = 0;
    condition("Failed", "Cancelled", "the job was cancelled", p.ended);
  }
  if (!conditions.empty()) status["conditions"] = std::move(conditions);
  status["startTime"] = time_text(s.created);
  return {{"apiVersion", "batch/v1"},
          {"kind", "Job"},
          {"metadata", std::move(metadata)},
          {"spec", std::move(spec)},
          {"status", std::move(status)}};
}

Json job_table(const std::vector<Json>& jobs, const Json& metadata, double now) {
  auto column = [](const char* name, const char* type, const char* what) {
    return Json{{"name", name}, {"type", type}, {"format", ""}, {"description", what}, {"priority", 0}};
  };
  Json rows = Json::array();
  for (const auto& j : jobs) {
    std::tm parts{};
    strptime(j.at("metadata").at("creationTimestamp").get_ref<const std::string&>().c_str(),
             "%Y-%m-%dT%H:%M:%SZ", &parts);
    auto age = static_cast<long>(std::max(0.0, now - static_cast<double>(timegm(&parts))));
    std::string done = std::to_string(j.at("status").value("succeeded", 0)) + "/" +
                       std::to_string(j.at("spec").value("completions", 1));
    rows.push_back({{"cells", {j.at("metadata").at("name"), done, std::to_string(age) + "s"}},
                    {"object",
                     {{"kind", "PartialObjectMetadata"},
                      {"apiVersion", "meta.k8s.io/v1"},
                      {"metadata", j.at("metadata")}}}});
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

Json status_object(const Failure& f) {
  Json details = Json::object();
  if (!f.name.empty()) details["name"] = f.name;
  if (!f.kind.empty()) details["group"] = "batch", details["kind"] = f.kind;
  if (!f.uid.empty()) details["uid"] = f.uid;
  if (f.code == 503 || f.code == 429) details["retryAfterSeconds"] = c::kRetryAfter;
  for (const auto& cause : f.causes)
    details["causes"].push_back(
        {{"reason", cause.reason}, {"message", cause.message}, {"field", cause.field}});
  Json out = {{"kind", "Status"},
              {"apiVersion", "v1"},
              {"metadata", Json::object()},
              {"status", f.code < 300 ? "Success" : "Failure"},
              {"code", f.code}};
  if (!f.message.empty()) out["message"] = f.message;
  if (!f.reason.empty()) out["reason"] = f.reason;
  if (!details.empty()) out["details"] = std::move(details);
  return out;
}

}  // namespace corkmux::kube
