#include "wire_fields.h"

#include <algorithm>

#include "utf8.h"
#include "wire_constants.h"

namespace corkmux::codec {

const Json* field(const Json& map, const char* name) {
  if (!map.is_object()) return nullptr;
  auto it = map.find(name);
  return it == map.end() || it->is_null() ? nullptr : &*it;
}

const Json* list_field(const Json& map, const char* name) {
  const Json* value = field(map, name);
  return value && value->is_array() ? value : nullptr;
}

std::string text(const Json& map, const char* name) {
  const Json* value = field(map, name);
  return value && value->is_string() ? value->get<std::string>() : std::string();
}

double number(const Json& map, const char* name, double default_value) {
  const Json* value = field(map, name);
  return value && value->is_number() ? value->get<double>() : default_value;
}

std::optional<double> amount(const Json& map, const char* name) {
  const Json* value = field(map, name);
  if (!value || !value->is_number()) return std::nullopt;
  const auto out = value->get<double>();
  // Written so that NaN, which compares false, is refused.
  return out >= 0 && out <= constants::kMaxAmount ? std::optional(out) : std::nullopt;
}

std::uint64_t integer(const Json& map, const char* name) {
  const Json* value = field(map, name);
  if (!value || !value->is_number_integer()) return 0;
  if (value->is_number_unsigned()) return value->get<std::uint64_t>();
  auto with_sign = value->get<std::int64_t>();
  return with_sign < 0 ? 0 : static_cast<std::uint64_t>(with_sign);
}

bool flag(const Json& map, const char* name) {
  const Json* value = field(map, name);
  return value && value->is_boolean() && value->get<bool>();
}

std::vector<std::string> texts(const Json& map, const char* name) {
  std::vector<std::string> out;
  const Json* list = list_field(map, name);
  if (!list) return out;
  for (const auto& item : *list)
    if (item.is_string()) out.push_back(item.get<std::string>());
  return out;
}

bool is_valid_name(std::string_view name) {
  if (name.empty() || name.size() > constants::kMaxText) return false;
  return is_utf8(name) &&
         std::none_of(name.begin(), name.end(), [](unsigned char c) { return c <= ' ' || c == 127; });
}

std::string need_text(const Json& map, const char* name) {
  std::string value = text(map, name);
  if (!is_valid_name(value)) throw FieldError{name, "missing or not a short text"};
  return value;
}

double need_amount(const Json& map, const char* name) {
  const Json* value = field(map, name);
  if (!value || !value->is_number()) throw FieldError{name, "missing or not a number"};
  auto in_range = amount(map, name);
  if (!in_range) throw FieldError{name, "out of range"};
  return *in_range;
}

bool need_flag(const Json& map, const char* name) {
  const Json* value = field(map, name);
  if (!value || !value->is_boolean()) throw FieldError{name, "missing or not true or false"};
  return value->get<bool>();
}

std::string task_name(const std::string& job, int index) { return job + "/" + std::to_string(index); }

std::optional<TaskId> parse_task_name(const std::string& name) {
  auto slash = name.rfind('/');
  if (slash == std::string::npos || slash + 1 >= name.size()) return std::nullopt;
  if (name.size() - slash - 1 > constants::kMaxTaskDigits) return std::nullopt;
  TaskId task;
  for (char digit : std::string_view(name).substr(slash + 1)) {
    if (digit < '0' || digit > '9') return std::nullopt;
    task.index = task.index * 10 + (digit - '0');
  }
  task.job = name.substr(0, slash);
  return task;
}

}  // namespace corkmux::codec
