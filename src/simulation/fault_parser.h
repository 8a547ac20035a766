// Reads one fault of a simulation's plan and checks it.
#pragma once
#include "fault.h"
#include "toml_reader.h"

namespace corkmux::simulation {

/// Throws SettingsError: an unknown kind, a field that the kind does not have, a value out of range.
Fault parse_fault(const Reader& reader);

}  // namespace corkmux::simulation
