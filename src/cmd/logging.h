// Sets up logging for the programs: lines on standard error, at the level that the environment variable
// LOG_LEVEL names.
#pragma once
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <memory>
#include <utility>

namespace corkmux {

/// Logs to standard error in spdlog's default format.
inline void log_to_stderr() {
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>()));
}

/// Logs to standard error with this formatter, at the level LOG_LEVEL, or `default_level` if LOG_LEVEL is not
/// set.
inline void start_logging(std::unique_ptr<spdlog::formatter> formatter,
                          spdlog::level::level_enum default_level) {
  log_to_stderr();
  spdlog::set_formatter(std::move(formatter));
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level ? spdlog::level::from_str(level) : default_level);
}

}  // namespace corkmux
