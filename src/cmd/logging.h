// Logging of the programs: lines on standard error, at the level that the environment names.
#pragma once
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <memory>

namespace corkmux {

inline void log_to_stderr() {
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>()));
}

/// LOG_LEVEL, or `otherwise` if it is not set.
inline void set_log_level_from_environment(spdlog::level::level_enum otherwise) {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level ? spdlog::level::from_str(level) : otherwise);
}

}  // namespace corkmux
