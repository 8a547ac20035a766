// How fast the places of each zone have become free of late.
//
// Owns a decaying sum per zone of the CPUs and accelerators that tasks gave back. It needs to be told of each
// task that leaves a machine; it knows neither jobs nor machines.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "model.h"
#include "time_constants.h"

namespace corkmux {
namespace constants {

inline constexpr double kFreeingWindow = 10.0;  // s over which a zone's rate of places becoming free is taken

}  // namespace constants

class FreedCapacity {
 public:
  /// A task of that need has given back its place.
  void note(const std::string& zone, const Resources& need, double now);
  /// CPUs and accelerators that become free each second; none if nothing has yet.
  std::optional<Resources> rate(const std::string& zone, double now) const;

 private:
  struct Sum {
    Resources resources;
    double at = kLongAgo;
  };
  std::map<std::string, Sum> zones_;
};

}  // namespace corkmux
