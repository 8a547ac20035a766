// The log of simulated controllers: lines with the simulated time and the host that writes them.
#pragma once
#include <spdlog/formatter.h>

#include <memory>

namespace corkmux::simulation {

std::unique_ptr<spdlog::formatter> log_formatter();

}  // namespace corkmux::simulation
