// Reads a scale run's plan from TOML and checks each field. Every field that is not known is refused.
#pragma once
#include <string>

#include "scale_test_plan.h"

namespace corkmux::scale_test {

/// Both throw SettingsError, which names the file and the field.
ScaleTestPlan parse_scale_plan(const std::string& text, const std::string& file);
ScaleTestPlan load_scale_plan(const std::string& file);

}  // namespace corkmux::scale_test
