// The record in which a controller declares the record format it reads, under kRecordFormats and its label.
#pragma once
#include <optional>
#include <string>

#include "codec.h"

namespace corkmux {

/// What a controller declares.
struct RecordFormatDeclaration {
  int format = 0;               // the newest that it reads
  int v1_tasks_per_record = 0;  // how many tasks its settings put into a record of format 1; 0: not said
};

/// The stored form.
codec::Json to_json(const RecordFormatDeclaration& declaration);
/// Reads the stored form; what is missing stays 0.
RecordFormatDeclaration parse_record_format_declaration(const codec::Json& record);
/// The label of the controller that declares that it reads the records this version writes; nullopt: it does
/// not.
std::optional<std::string> reader_of_our_format(const codec::KeyValue& record);

}  // namespace corkmux
