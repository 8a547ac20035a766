// The part of a Job's translation that is about its pod: image, resources, placement, priority.
#pragma once
#include "job_translation.h"

namespace corkmux::kube {

/// Reads a pod's spec into the translation. `path`: of the spec within the submission.
void read_pod(const Json& pod_spec, const std::string& path, JobTranslation& translation);

}  // namespace corkmux::kube
