// Parses a scale run's plan from TOML and checks each field. Unknown fields are rejected.
#pragma once
#include <string>

#include "scale_test_plan.h"

namespace corkmux::scale_test {

/// Both functions throw SettingsError, whose message names the file and the field, for an invalid plan.
ScaleTestPlan parse_scale_plan(const std::string& text, const std::string& file);
ScaleTestPlan load_scale_plan(const std::string& file);

}  // namespace corkmux::scale_test
