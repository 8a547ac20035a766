#include "outage_log.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace corkmux {

void OutageLog::begin_outage(double now) {
  since_ = now;
  pause_ = kFirstPause;
  logged_ = false;
  // At start it is logged at once; of a service that has answered, a single lost answer is no outage.
  next_line_at_ = has_answered_ ? now + kPatience : now;
}

std::optional<std::string> OutageLog::failed(double now, const std::string& error) {
  if (!since_) begin_outage(now);
  if (now < next_line_at_) return std::nullopt;
  auto line = logged_ ? fmt::format("still waiting for {} at {} after {:.0f} s: {}", service_, address_,
                                    now - *since_, error)
                      : fmt::format("waiting for {} at {}: {}", service_, address_, error);
  logged_ = true;
  next_line_at_ = now + pause_;
  pause_ = std::min(2 * pause_, kLongestPause);
  return line;
}

std::optional<std::string> OutageLog::answered(double now) {
  auto since = std::exchange(since_, std::nullopt);
  if (!std::exchange(has_answered_, true)) return fmt::format("{} answers at {}", service_, address_);
  if (!since || !logged_) return std::nullopt;
  return fmt::format("{} at {} answers again after {:.0f} s", service_, address_, now - *since);
}

void log_outcome(OutageLog& log, const http::Result& result) {
  bool away = result.status == 0 || result.status == 503;
  double now = steady_now();
  if (!away) {
    if (auto line = log.answered(now)) spdlog::info("{}", *line);
    return;
  }
  auto line = log.failed(now, result.status ? "503, out of order" : result.error);
  if (line) spdlog::warn("{}", *line);
}

}  // namespace corkmux
