// Translates the project's own annotations (`corkmux.io/…`) of a Job. They carry the job settings for which
// the Kubernetes API has no field.
#pragma once
#include "job_translation.h"

namespace corkmux::kube {

/// Reads the annotations of an object into `translation`. Invalid and unknown annotations with the project's
/// prefix are added to its causes.
void read_annotations(const Json& object, JobTranslation& translation);

}  // namespace corkmux::kube
