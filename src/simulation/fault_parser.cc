#include "fault_parser.h"

#include <utility>

namespace corkmux::simulation {
namespace {

FaultKind parse_kind(const Reader& reader) {
  auto kind = fault_kind_named(reader.text("kind"));
  if (!kind) reader.fail("kind", "no such trouble");
  return *kind;
}

void check_fields(const Reader& reader, FaultKind kind) {
  auto fields = describe(kind).fields;
  fields.emplace_back("at_s");
  fields.emplace_back("kind");
  reader.only(fields);
}

PartitionMode parse_mode(const Reader& reader) {
  auto mode = partition_mode_named(reader.text_or("mode", "hold"));
  if (!mode) reader.fail("mode", "not hold, reset or refuse");
  return *mode;
}

/// In the plan file, 0 is equivalent to omitting the field.
std::optional<double> positive_amount(const Reader& reader, const char* field) {
  double amount = reader.amount_or(field, 0);
  return amount > 0 ? std::optional(amount) : std::nullopt;
}

std::optional<int> positive_count(const Reader& reader, const char* field) {
  int count = static_cast<int>(reader.amount_or(field, 0));
  return count > 0 ? std::optional(count) : std::nullopt;
}

}  // namespace

Fault parse_fault(const Reader& reader) {
  Fault fault;
  fault.at_s = reader.amount("at_s", false);
  fault.kind = parse_kind(reader);
  check_fields(reader, fault.kind);
  fault.for_s = reader.amount_or("for_s", 0);
  fault.every_s = reader.amount_or("every_s", kDefaultRepeatInterval);
  fault.zone = reader.text_or("zone", "");
  fault.mode = parse_mode(reader);
  fault.job_class = reader.text_or("class", "");
  fault.team = reader.text_or("team", "");
  if (reader.has("zones")) fault.zones = reader.texts("zones");
  if (fault.kind == FaultKind::ZoneIsolation && fault.zone.empty()) reader.fail("zone", "missing");
  if (fault.kind == FaultKind::ZonePartition && fault.zones.size() != 2) reader.fail("zones", "not two");
  fault.count = static_cast<int>(reader.amount_or("count", 1));
  fault.txn_ops = positive_count(reader, "txn_ops");
  fault.busiest = reader.flag_or("busiest", false);
  fault.one_way = reader.flag_or("one_way", false);
  fault.from_state = reader.flag_or("from_state", false);
  fault.from_workers = reader.flag_or("from_workers", false);
  fault.from_peers = reader.flag_or("from_peers", false);
  fault.share = reader.amount_or("share", 0);
  fault.factor = reader.amount_or("factor", 1);
  fault.notice_s = reader.amount_or("notice_s", 0);
  fault.back_s = positive_amount(reader, "back_s");
  fault.times = static_cast<int>(reader.amount_or("times", 1));
  fault.value_kb = positive_amount(reader, "value_kb");
  fault.write_rps = positive_amount(reader, "write_rps");
  fault.hang_s = positive_amount(reader, "hang_s");
  fault.at_once = reader.flag_or("at_once", false);
  fault.for_next = reader.flag_or("for_next", false);
  return fault;
}

}  // namespace corkmux::simulation
