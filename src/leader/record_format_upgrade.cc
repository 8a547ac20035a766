#include "record_format_upgrade.h"

#include <spdlog/spdlog.h>

#include <optional>

namespace corkmux {

void RecordFormatUpgrade::upgrade(RecordUpgradeReason reason) {
  if (scheduler_.uses_v2_records()) return;
  spdlog::info("all controllers read record format 2: {}", to_string(reason));
  scheduler_.use_v2_records();
}

void RecordFormatUpgrade::poll() {
  double now = steady_now();
  if (scheduler_.uses_v2_records() || polling_) return;
  if (now - polled_at_ <= RecordFormatNegotiation::kPollInterval) return;
  polling_ = true;
  polled_at_ = now;
  negotiation_.read(term_.guard([this](std::optional<RecordFormats> formats) {
    polling_ = false;
    if (formats && formats->all_read_v2) upgrade(RecordUpgradeReason::AllControllersDeclared);
  }));
}

}  // namespace corkmux
