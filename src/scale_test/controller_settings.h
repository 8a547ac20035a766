// Generates the settings file of one controller of a scale run, in the same format that the platform writes.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "scale_test_plan.h"

namespace corkmux::scale_test {

/// Addresses of a run's controllers and of the services that they use; each is host:port.
struct RunAddresses {
  std::vector<std::string> users;  // of each controller
  std::vector<std::string> peers;  // of each controller
  std::string state;
  std::string cloud;
};

/// "c01", "c02", ...
std::string controller_label(std::size_t controller);

/// The text of the settings file (TOML) of the controller with this number, counted from 0.
std::string controller_settings(const ScaleTestPlan& plan, std::size_t controller,
                                const RunAddresses& addresses);

}  // namespace corkmux::scale_test
