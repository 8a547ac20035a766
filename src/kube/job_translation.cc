#include "job_translation.h"

#include <algorithm>
#include <limits>

#include "annotation_translation.h"
#include "field_reader.h"
#include "pod_translation.h"
#include "wire_constants.h"

namespace corkmux::kube {
namespace {

constexpr int kUnlimitedRetries = std::numeric_limits<int>::max();

/// Reads the number of tasks. A job has all its tasks from the start, so `parallelism` must not be below
/// `completions`.
void read_counts(FieldReader& spec, JobSpec& job) {
  auto parallelism = spec.integer("parallelism", 0, constants::kMaxTasks);
  auto completions = spec.integer("completions", 1, constants::kMaxTasks);
  job.tasks = completions.value_or(1);
  if (!completions && parallelism.value_or(1) != 1)
    spec.add_invalid("completions",
                     "has to be given: work queues without a number of completions are not supported");
  if (completions && parallelism && *parallelism < *completions)
    spec.add_invalid("parallelism",
                     "below completions: tasks are started as machines, limits and guarantees allow");
  if (auto mode = spec.text("completionMode"); !mode.empty() && mode != "NonIndexed" && mode != "Indexed")
    spec.add_invalid("completionMode", "neither NonIndexed nor Indexed");
}

/// Rejects fields that would change how a job runs and that the scheduler does not support.
void refuse_unsupported(FieldReader& spec) {
  if (auto limit = spec.integer("backoffLimit", 0, kUnlimitedRetries); limit && *limit != kUnlimitedRetries)
    spec.add_invalid(
        "backoffLimit",
        "tasks that fail are started again, with pauses, until the job is done or deleted; leave it out");
  if (const Json* suspend = spec.get("suspend"); suspend && *suspend != false)
    spec.add_invalid("suspend", "not supported: a job waits from its submission on");
  for (const char* name :
       {"ttlSecondsAfterFinished", "activeDeadlineSeconds", "podFailurePolicy", "backoffLimitPerIndex",
        "maxFailedIndexes", "selector", "manualSelector", "podReplacementPolicy"})
    spec.refuse(name, "not supported");
}

void read_template(const Json& pod_template, JobTranslation& translation) {
  FieldReader fields(pod_template, "spec.template", translation.causes);
  fields.get("metadata");
  if (const Json* pod_spec = fields.get("spec"))
    read_pod(*pod_spec, "spec.template.spec", translation);
  else
    fields.add_missing("spec", "has to be given");
}

void check_name(FieldReader& metadata) {
  const std::string name = metadata.text("name");
  const std::string prefix = metadata.text("generateName");
  if (name.empty() && prefix.empty()) metadata.add_missing("name", "name or generateName has to be given");
  if (!name.empty() && !valid_name(name))
    metadata.add_invalid("name", "has to be lower case letters, digits, '-' and '.', at most 63 of them");
  if (name.empty() && !prefix.empty() && !valid_name(prefix.substr(0, kGeneratedNamePrefix) + "x"))
    metadata.add_invalid("generateName", "has to begin a name: lower case letters, digits, '-' and '.'");
}

bool is_map_of_texts(const Json& value) {
  return value.is_object() &&
         std::all_of(value.begin(), value.end(), [](const Json& member) { return member.is_string(); });
}

}  // namespace

std::vector<Cause> check_metadata(const Json& object, const std::string& namespace_name) {
  std::vector<Cause> causes;
  FieldReader metadata(member_or_empty(object, "metadata"), "metadata", causes);
  check_name(metadata);
  if (auto other = metadata.text("namespace"); !other.empty() && other != namespace_name)
    metadata.add_invalid("namespace", "does not match the namespace of the request");
  for (const char* field : {"labels", "annotations"}) {
    const Json* map = metadata.get(field);
    if (map && !is_map_of_texts(*map)) metadata.add_invalid(field, "not a map of texts");
  }
  metadata.refuse("finalizers", "not supported");
  metadata.refuse("ownerReferences", "not supported");
  return causes;
}

JobTranslation translate_job(const Json& object) {
  JobTranslation translation;
  JobSpec& job = translation.job;
  FieldReader spec(member_or_empty(object, "spec"), "spec", translation.causes);
  read_counts(spec, job);
  refuse_unsupported(spec);
  const Json* pod_template = spec.get("template");
  spec.refuse_rest("not known");
  if (pod_template)
    read_template(*pod_template, translation);
  else
    spec.add_missing("template", "has to be given");
  read_annotations(object, translation);
  if (job.kind == JobKind::Array && (job.one_zone || job.spread) && job.tasks == 1)
    translation.warnings.emplace_back("one-zone and spread have no effect on a single task");
  return translation;
}

}  // namespace corkmux::kube
