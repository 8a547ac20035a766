// The part of a Job's translation that is about the project's own annotations (`corkmux.io/…`), which say
// what the API has no field for.
#pragma once
#include "job_translation.h"

namespace corkmux::kube {

/// Reads the annotations of an object into the translation.
void read_annotations(const Json& object, JobTranslation& translation);

}  // namespace corkmux::kube
