// Random names and uids for new objects.
#pragma once
#include <random>
#include <string>

namespace corkmux::kube {

/// A generator of its own random sequence, seeded by the system.
class RandomIds {
 public:
  RandomIds();
  /// What the API appends to a generateName.
  std::string name_suffix();
  /// RFC 9562, version 4.
  std::string uid();

 private:
  std::mt19937_64 rng_;
};

}  // namespace corkmux::kube
