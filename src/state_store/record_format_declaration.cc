#include "record_format_declaration.h"

#include <algorithm>

#include "constants.h"
#include "store_keys.h"
#include "wire_constants.h"
#include "wire_fields.h"

namespace corkmux {
namespace {

/// Numbers above kMaxTasks read as that.
int small_number(const codec::Json& record, const char* field) {
  return static_cast<int>(std::min<std::uint64_t>(codec::integer(record, field), constants::kMaxTasks));
}

}  // namespace

codec::Json to_json(const RecordFormatDeclaration& declaration) {
  return {{"f", declaration.format}, {"per", declaration.v1_tasks_per_record}};
}

RecordFormatDeclaration parse_record_format_declaration(const codec::Json& record) {
  RecordFormatDeclaration declaration;
  declaration.format = small_number(record, "f");
  declaration.v1_tasks_per_record = small_number(record, "per");
  return declaration;
}

std::optional<std::string> reader_of_current_format(const codec::KeyValue& record) {
  if (parse_record_format_declaration(record.value).format < constants::kRecordFormat) return std::nullopt;
  return record.key.substr(std::min(kRecordFormats.size(), record.key.size()));
}

}  // namespace corkmux
