// Parses and validates one fault of a simulation plan.
#pragma once
#include "fault.h"
#include "toml_reader.h"

namespace corkmux::simulation {

/// Throws SettingsError for an unknown kind, a field that the kind does not have, or a value out of range.
Fault parse_fault(const Reader& reader);

}  // namespace corkmux::simulation
