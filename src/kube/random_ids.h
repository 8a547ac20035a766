// Random names and uids for new objects.
#pragma once
#include <random>
#include <string>

namespace corkmux::kube {

/// Generates names and uids from a random sequence of its own, seeded by the system.
class RandomIds {
 public:
  RandomIds();
  /// Returns a random suffix to append to a generateName.
  std::string name_suffix();
  /// Returns a random UUID (RFC 9562, version 4).
  std::string uid();

 private:
  std::mt19937_64 rng_;
};

}  // namespace corkmux::kube
