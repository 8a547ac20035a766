// A machine type of the cloud's catalog, and a machine as the cloud lists it.
#pragma once
#include <string>
#include <vector>

#include "resources.h"

namespace corkmux {

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 1;
  double price = 0;
  double spot_price = 0;
  double boot_s = 60;
  std::vector<std::string> zones;
};

struct ListedMachine {
  enum class Phase { Booting, Running, Failed };
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Phase phase = Phase::Running;
  double age_s = 0;
};

}  // namespace corkmux
