// Logging of the programs: lines on standard error, at the level that the environment names.
#pragma once
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <memory>
#include <utility>

namespace corkmux {

/// Lines on standard error, as spdlog has them if nothing is said.
inline void log_to_stderr() {
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>()));
}

/// Lines on standard error in the formatter's form, at the level LOG_LEVEL, or `otherwise` if that is not
/// set.
inline void start_logging(std::unique_ptr<spdlog::formatter> formatter, spdlog::level::level_enum otherwise) {
  log_to_stderr();
  spdlog::set_formatter(std::move(formatter));
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level ? spdlog::level::from_str(level) : otherwise);
}

}  // namespace corkmux
