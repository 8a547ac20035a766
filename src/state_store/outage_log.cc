#include "outage_log.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "state_store_constants.h"

namespace corkmux {
namespace c = constants;

std::optional<std::string> OutageLog::failed(double now, const std::string& error) {
  if (!since_) {
    since_ = now;
    pause_ = c::kOutageAgain;
    said_ = false;
    // At start it is said at once; of a service that has answered, a single lost answer is no outage.
    next_ = known_ ? now + c::kOutagePatience : now;
  }
  if (now < next_) return std::nullopt;
  auto line = said_ ? fmt::format("still waiting for {} at {} after {:.0f} s: {}", what_, address_,
                                  now - *since_, error)
                    : fmt::format("waiting for {} at {}: {}", what_, address_, error);
  said_ = true;
  next_ = now + pause_;
  pause_ = std::min(2 * pause_, c::kOutageAgainMost);
  return line;
}

std::optional<std::string> OutageLog::answered(double now) {
  auto since = std::exchange(since_, std::nullopt);
  if (!std::exchange(known_, true)) return fmt::format("{} answers at {}", what_, address_);
  if (!since || !said_) return std::nullopt;
  return fmt::format("{} at {} answers again after {:.0f} s", what_, address_, now - *since);
}

void log_outcome(OutageLog& log, const http::Result& r) {
  bool away = r.status == 0 || r.status == 503;
  auto line =
      away ? log.failed(steady_now(), r.status ? "503, out of order" : r.error) : log.answered(steady_now());
  if (line) away ? spdlog::warn("{}", *line) : spdlog::info("{}", *line);
}

}  // namespace corkmux
