#include "fault.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace corkmux::simulation {

const std::vector<FaultKindDescription>& fault_kinds() {
  static const std::vector<FaultKindDescription> kinds = {
      {FaultKind::StateAnswersLost, "answers_lost", {"share", "for_s"}},
      {FaultKind::FanInBatchesRepeated, "batches_again", {"share", "for_s"}},
      {FaultKind::CancelAtJobEnd, "cancel_at_end", {"share", "for_s"}},
      {FaultKind::CancelRunningJobs, "cancel_now", {"count", "hang_s"}},
      {FaultKind::ConcurrentReads, "close_looks", {"for_s"}},
      {FaultKind::CloudOutage, "cloud_outage", {"for_s"}},
      {FaultKind::JobBurst, "job_burst", {"class", "team", "factor", "for_s"}},
      {FaultKind::FanInBatchesLate, "late_batches", {"share", "for_s"}},
      {FaultKind::CommandsRepeated, "late_orders", {"share", "for_s"}},
      {FaultKind::HeartbeatsRepeated, "late_reports", {"share", "for_s", "for_next"}},
      {FaultKind::WritesLate, "late_writes", {"share", "for_s", "at_once"}},
      {FaultKind::MachinePartition, "machine_cut", {"count", "mode", "for_s"}},
      {FaultKind::MachineMessagesLost, "machine_deaf", {"count", "share", "zone", "for_s"}},
      {FaultKind::MachineDeath, "machine_die", {"count", "zone"}},
      {FaultKind::MachineHang, "machine_hang", {"count", "for_s"}},
      {FaultKind::MachineRequestsLost, "machine_mute", {"count", "share", "zone", "for_s"}},
      {FaultKind::MachineFaulty, "machine_sick", {"count", "for_s"}},
      {FaultKind::ControllerCrash, "node_crash", {"count", "busiest", "back_s", "times", "every_s"}},
      {FaultKind::ControllerPartition,
       "node_cut",
       {"count", "busiest", "from_state", "from_workers", "from_peers", "one_way", "mode", "for_s"}},
      {FaultKind::ControllerPowerOff, "node_down", {"count", "busiest", "for_s"}},
      {FaultKind::ControllerStall, "node_freeze", {"count", "busiest", "for_s"}},
      {FaultKind::RollingRestart, "node_roll", {"every_s", "back_s"}},
      {FaultKind::ControllerSlowLinks, "node_slow", {"count", "busiest", "factor", "for_s"}},
      {FaultKind::InvalidRequests, "odd_requests", {"for_s"}},
      {FaultKind::PeersRefuse, "peers_refuse", {"one_way", "mode", "for_s"}},
      {FaultKind::PollStorm, "poll_storm", {"factor", "for_s"}},
      {FaultKind::SpotReclaim, "spot_taken", {"share", "zone", "notice_s"}},
      {FaultKind::StateLimits, "state_limits", {"write_rps", "value_kb", "txn_ops"}},
      {FaultKind::StateOutage, "state_outage", {"for_s"}},
      {FaultKind::StateRefusal, "state_refuses", {"count", "busiest", "for_s"}},
      {FaultKind::StateSlow, "state_slow", {"factor", "for_s"}},
      {FaultKind::ZoneIsolation, "zone_cut", {"zone", "one_way", "mode", "for_s"}},
      {FaultKind::ZonePartition, "zone_partition", {"zones", "one_way", "mode", "for_s"}},
  };
  return kinds;
}

const FaultKindDescription& describe(FaultKind kind) {
  return fault_kinds().at(static_cast<std::size_t>(kind));
}

std::optional<FaultKind> fault_kind_named(std::string_view name) {
  for (const auto& description : fault_kinds())
    if (description.name == name) return description.kind;
  return std::nullopt;
}

bool has_field(FaultKind kind, std::string_view field) {
  const auto& fields = describe(kind).fields;
  return std::find(fields.begin(), fields.end(), field) != fields.end();
}

const char* partition_mode_name(PartitionMode mode) {
  switch (mode) {
    case PartitionMode::Hold:
      return "hold";
    case PartitionMode::Reset:
      return "reset";
    case PartitionMode::Refuse:
      return "refuse";
  }
  return "";
}

std::optional<PartitionMode> partition_mode_named(std::string_view name) {
  for (auto mode : {PartitionMode::Hold, PartitionMode::Reset, PartitionMode::Refuse})
    if (name == partition_mode_name(mode)) return mode;
  return std::nullopt;
}

namespace {

/// Formats one fault; omits fields that the kind does not have and fields with their default value.
class FaultWriter {
 public:
  explicit FaultWriter(const Fault& fault)
      : kind_(fault.kind),
        text_(fmt::format("{{ at_s = {}, kind = \"{}\"", fault.at_s, describe(fault.kind).name)) {}

  void amount(const char* field, double value, double default_value) {
    if (value != default_value && has_field(kind_, field)) text_ += fmt::format(", {} = {}", field, value);
  }
  void amount(const char* field, std::optional<double> value) {
    if (value) amount(field, *value, 0);
  }
  void text(const char* field, const std::string& value, const char* default_value) {
    if (value != default_value && has_field(kind_, field))
      text_ += fmt::format(", {} = \"{}\"", field, value);
  }
  void flag(const char* field, bool value) {
    if (value && has_field(kind_, field)) text_ += fmt::format(", {} = true", field);
  }
  void zones(const std::vector<std::string>& zones) {
    if (zones.size() == 2 && has_field(kind_, "zones"))
      text_ += fmt::format(", zones = [\"{}\", \"{}\"]", zones[0], zones[1]);
  }
  std::string finish() && { return std::move(text_) + " }"; }

 private:
  FaultKind kind_;
  std::string text_;
};

}  // namespace

std::string fault_to_toml(const Fault& fault) {
  FaultWriter writer(fault);
  writer.amount("for_s", fault.for_s, 0);
  writer.amount("every_s", fault.every_s, kDefaultRepeatInterval);
  writer.amount("count", fault.count, 1);
  writer.amount("share", fault.share, 0);
  writer.amount("factor", fault.factor, 1);
  writer.amount("notice_s", fault.notice_s, 0);
  writer.amount("value_kb", fault.value_kb);
  writer.amount("write_rps", fault.write_rps);
  writer.amount("txn_ops", fault.txn_ops);
  writer.amount("back_s", fault.back_s);
  writer.amount("times", fault.times, 1);
  writer.text("zone", fault.zone, "");
  writer.text("mode", partition_mode_name(fault.mode), "hold");
  writer.text("class", fault.job_class, "");
  writer.text("team", fault.team, "");
  writer.zones(fault.zones);
  writer.flag("busiest", fault.busiest);
  writer.flag("from_state", fault.from_state);
  writer.flag("from_workers", fault.from_workers);
  writer.flag("from_peers", fault.from_peers);
  writer.flag("one_way", fault.one_way);
  writer.amount("hang_s", fault.hang_s);
  writer.flag("at_once", fault.at_once);
  writer.flag("for_next", fault.for_next);
  return std::move(writer).finish();
}

}  // namespace corkmux::simulation
