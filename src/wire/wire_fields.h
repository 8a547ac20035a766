// Reads single fields of a decoded body or of a stored record, for codecs and record formats. A field that is
// missing or of another type reads as empty; the need_ functions throw FieldError instead.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "field_error.h"
#include "msgpack.h"

namespace corkmux::codec {

/// Null if the field is missing or null.
const Json* field(const Json& map, const char* name);
/// Null unless the field is a list.
const Json* list_field(const Json& map, const char* name);
std::string text(const Json& map, const char* name);
double number(const Json& map, const char* name, double default_value = 0);
/// An amount: finite, not negative, at most kMaxAmount; nullopt for any other value.
std::optional<double> amount(const Json& map, const char* name);
/// Negative numbers read as 0.
std::uint64_t integer(const Json& map, const char* name);
bool flag(const Json& map, const char* name);
/// The strings of a list; other items are skipped.
std::vector<std::string> texts(const Json& map, const char* name);

/// Validates names from untrusted submissions, since names are used in state keys and logs and kept in
/// memory.
bool is_valid_name(std::string_view name);

std::string need_text(const Json& map, const char* name);
/// Returns an amount: finite, not negative, at most kMaxAmount.
double need_amount(const Json& map, const char* name);
bool need_flag(const Json& map, const char* name);

/// The name of one task, as workers and controllers use it: <job>/<index>
std::string task_name(const std::string& job, int index);
struct TaskId {
  std::string job;
  int index = 0;
};
std::optional<TaskId> parse_task_name(const std::string& name);

}  // namespace corkmux::codec
