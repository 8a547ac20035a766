// The record with which a controller declares the record format that it reads, stored under kRecordFormats
// and the controller's label.
#pragma once
#include <optional>
#include <string>

#include "codec.h"

namespace corkmux {

/// The declaration of one controller.
struct RecordFormatDeclaration {
  int format = 0;               // the newest format that it reads
  int v1_tasks_per_record = 0;  // tasks in a record of format 1 by its settings; 0: not declared
};

/// The stored form.
codec::Json to_json(const RecordFormatDeclaration& declaration);
/// Parses the stored form; missing fields stay 0.
RecordFormatDeclaration parse_record_format_declaration(const codec::Json& record);
/// The label of the controller, if it declares that it reads the records that this version writes; nullopt if
/// it does not.
std::optional<std::string> reader_of_current_format(const codec::KeyValue& record);

}  // namespace corkmux
