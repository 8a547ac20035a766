// A job as it really is: what its users uploaded, and how far its tasks have come.
#pragma once
#include <vector>

#include "model.h"

namespace corkmux::simulation {

struct SimulatedJob {
  JobSpec spec;
  std::vector<double> run_s;    // per task, on a machine of usual speed; of a gang the first counts for all
  bool always_fails = false;    // submitted with a mistake: fails everywhere
  std::vector<double> saved_s;  // of progress, per task, that is safe; of a gang the first
  std::vector<bool> done;       // per task
};

}  // namespace corkmux::simulation
