// Log formatter for simulated controllers: prefixes each line with the simulated time and the host that logs.
#pragma once
#include <spdlog/formatter.h>

#include <memory>

namespace corkmux::simulation {

std::unique_ptr<spdlog::formatter> log_formatter();

}  // namespace corkmux::simulation
