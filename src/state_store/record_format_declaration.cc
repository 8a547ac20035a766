#include "record_format_declaration.h"

#include <algorithm>

#include "constants.h"
#include "store_keys.h"

namespace corkmux {

codec::Json to_json(const RecordFormatDeclaration& declaration) {
  return {{"f", declaration.format}, {"per", declaration.v1_tasks_per_record}};
}

RecordFormatDeclaration parse_record_format_declaration(const codec::Json& record) {
  RecordFormatDeclaration declaration;
  if (!record.is_object()) return declaration;
  declaration.format = record.value("f", 0);
  declaration.v1_tasks_per_record = record.value("per", 0);
  return declaration;
}

std::optional<std::string> reader_of_current_format(const codec::KeyValue& record) {
  if (parse_record_format_declaration(record.value).format < constants::kRecordFormat) return std::nullopt;
  return record.key.substr(std::min(kRecordFormats.size(), record.key.size()));
}

}  // namespace corkmux
