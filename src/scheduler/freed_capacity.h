// Measures how fast capacity of each zone has become free recently.
//
// Owns a decaying sum per zone of the CPUs and accelerators that tasks have freed. Its caller notes each task
// that leaves a machine; it has no access to jobs or machines.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "model.h"
#include "time_constants.h"

namespace corkmux {
namespace constants {

inline constexpr double kFreedCapacityWindow = 10.0;  // s; time constant of the decay of freed capacity

}  // namespace constants

class FreedCapacity {
 public:
  /// Counts a task with that need that has freed its capacity in the zone.
  void note(const std::string& zone, const Resources& need, double now);
  /// CPUs and accelerators that become free per second; nullopt if none has become free yet.
  std::optional<Resources> rate(const std::string& zone, double now) const;

 private:
  struct Sum {
    Resources resources;
    double at = kLongAgo;
  };
  std::map<std::string, Sum> zones_;
};

}  // namespace corkmux
