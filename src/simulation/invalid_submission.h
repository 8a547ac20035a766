// Builds submissions that a controller must refuse: a field is missing or impossible, or the job can never
// run.
#pragma once
#include <random>

#include "codec.h"

namespace corkmux::simulation {

struct InvalidSubmission {
  codec::Json job;
  int required_status = 400;  // HTTP status that the protocol requires
};

/// Makes the valid job invalid; `number` selects the defect.
InvalidSubmission make_invalid_submission(codec::Json valid_job, int number, std::mt19937_64& rng);

}  // namespace corkmux::simulation
