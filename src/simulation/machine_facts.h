// Properties of a machine that the cloud provisioned.
#pragma once
#include <string>

#include "model.h"

namespace corkmux::simulation {

struct MachineFacts {
  std::string name;
  MachineType type;
  std::string zone;
  bool spot = false;
};

}  // namespace corkmux::simulation
