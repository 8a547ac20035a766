// Translates the pod template of a Job: image, resources, placement and priority.
#pragma once
#include "job_translation.h"

namespace corkmux::kube {

/// Reads a pod's spec into `translation`. `path` is the path of the spec within the submission, used in
/// errors.
void read_pod(const Json& pod_spec, const std::string& path, JobTranslation& translation);

}  // namespace corkmux::kube
