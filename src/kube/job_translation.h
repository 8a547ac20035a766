// Translates a submitted batch/v1 Job into a JobSpec. All functions are pure. docs/kubernetes.md lists how
// each field is translated and which fields are rejected.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "job_spec.h"
#include "objects.h"

namespace corkmux::kube {

/// Prefix of the names of the project's own annotations, resources and tolerations.
inline constexpr const char* kCorkmuxPrefix = "corkmux.io/";
inline constexpr std::size_t kGeneratedNamePrefix = 58;  // used bytes of generateName

/// The result of translating a submission.
struct JobTranslation {
  JobSpec job;                // without id and team, which the caller sets
  std::vector<Cause> causes;  // errors by field; empty: the job can be submitted
  std::vector<std::string> warnings;
};

/// Translates the spec and the annotations of a Job; check_metadata checks its name.
JobTranslation translate_job(const Json& object);

/// Checks `metadata`: name or generateName, labels and annotations, and that a given namespace is the one of
/// the request.
std::vector<Cause> check_metadata(const Json& object, const std::string& namespace_name);

}  // namespace corkmux::kube
