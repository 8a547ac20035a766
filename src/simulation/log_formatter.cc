#include "log_formatter.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <iterator>
#include <string_view>

#include "host.h"

namespace corkmux::simulation {
namespace {

class SimulationFormatter : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& out) override {
    const auto* host = dynamic_cast<const Host*>(Runtime::in_use);
    fmt::format_to(std::back_inserter(out), "{:8.3f} {:<8} {} {}\n", host ? host->simulated_time() : 0,
                   host ? host->name() : "", spdlog::level::to_short_c_str(message.level),
                   std::string_view(message.payload.data(), message.payload.size()));
  }
  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<SimulationFormatter>();
  }
};

}  // namespace

std::unique_ptr<spdlog::formatter> log_formatter() { return std::make_unique<SimulationFormatter>(); }

}  // namespace corkmux::simulation
