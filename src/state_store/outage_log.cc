#include "outage_log.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace corkmux {

void OutageLog::begin_outage(double now) {
  outage_since_ = now;
  log_interval_ = kFirstLogInterval;
  logged_ = false;
  // Before its first answer a service is logged at once; after that, a single lost answer is not an outage.
  next_log_at_ = has_answered_ ? now + kOutageThreshold : now;
}

std::optional<std::string> OutageLog::failed(double now, const std::string& error) {
  if (!outage_since_) begin_outage(now);
  if (now < next_log_at_) return std::nullopt;
  auto line = logged_ ? fmt::format("still waiting for {} at {} after {:.0f} s: {}", service_, address_,
                                    now - *outage_since_, error)
                      : fmt::format("waiting for {} at {}: {}", service_, address_, error);
  logged_ = true;
  next_log_at_ = now + log_interval_;
  log_interval_ = std::min(2 * log_interval_, kMaxLogInterval);
  return line;
}

std::optional<std::string> OutageLog::answered(double now) {
  auto since = std::exchange(outage_since_, std::nullopt);
  if (!std::exchange(has_answered_, true)) return fmt::format("{} answers at {}", service_, address_);
  if (!since || !logged_) return std::nullopt;
  return fmt::format("{} at {} answers again after {:.0f} s", service_, address_, now - *since);
}

void log_outcome(OutageLog& log, const http::Result& result) {
  bool unavailable = result.status == 0 || result.status == 503;
  double now = steady_now();
  if (!unavailable) {
    if (auto line = log.answered(now)) spdlog::info("{}", *line);
    return;
  }
  auto line = log.failed(now, result.status ? "503, unavailable" : result.error);
  if (line) spdlog::warn("{}", *line);
}

}  // namespace corkmux
