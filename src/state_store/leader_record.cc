#include "leader_record.h"

#include "wire_fields.h"

namespace corkmux {

codec::Json to_json(const LeaderRecord& leader) { return {{"label", leader.label}, {"term", leader.term}}; }

LeaderRecord parse_leader_record(const codec::Json& record) {
  return {codec::text(record, "label"), codec::integer(record, "term")};
}

codec::Json term_record_to_json(std::uint64_t term) { return codec::Json{{"n", term}}; }

std::optional<std::uint64_t> parse_term_record(const codec::Json& record) {
  auto term = record.find("n");
  if (term == record.end() || !term->is_number_unsigned()) return std::nullopt;
  return term->get<std::uint64_t>();
}

}  // namespace corkmux
