// The actual state of a job, independent of the controllers: the upload of its users and the progress of its
// tasks.
#pragma once
#include <vector>

#include "model.h"

namespace corkmux::simulation {

struct SimulatedJob {
  JobSpec spec;
  std::vector<double> run_s;    // per task, on a machine of normal speed; a gang uses the first for all
  bool always_fails = false;    // submitted with an error: fails on every machine
  std::vector<double> saved_s;  // saved progress per task; a gang uses the first
  std::vector<bool> done;       // per task
};

}  // namespace corkmux::simulation
