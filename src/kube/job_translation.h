// Translates a submitted batch/v1 Job into a JobSpec. Pure functions. What a field of a submission becomes,
// and which are refused, is in docs/kubernetes.md.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "job_spec.h"
#include "objects.h"

namespace corkmux::kube {

/// The prefix of the project's own annotations, resources and tolerations.
inline constexpr const char* kOwnPrefix = "corkmux.io/";
inline constexpr std::size_t kGeneratedNamePrefix = 58;  // bytes of generateName that count

/// What a submission becomes.
struct JobTranslation {
  JobSpec job;                // without id and team
  std::vector<Cause> causes;  // empty: the job can be submitted
  std::vector<std::string> warnings;
};

/// Translates everything but the name.
JobTranslation translate_job(const Json& object);

/// Checks `metadata`: name or generateName, labels, annotations; and that it names no other namespace.
std::vector<Cause> check_metadata(const Json& object, const std::string& namespace_name);

}  // namespace corkmux::kube
