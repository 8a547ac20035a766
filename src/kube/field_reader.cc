#include "field_reader.h"

#include <utility>

namespace corkmux::kube {
namespace {

const Json kEmptyObject = Json::object();

}  // namespace

const Json& member_or_empty(const Json& object, const char* name) {
  return object.contains(name) ? object.at(name) : kEmptyObject;
}

FieldReader::FieldReader(const Json& object, std::string path, std::vector<Cause>& causes)
    : object_(object.is_object() ? object : kEmptyObject), path_(std::move(path)), causes_(causes) {
  if (!object.is_null() && !object.is_object()) add_invalid("", "not an object");
}

const Json* FieldReader::get(const std::string& name) {
  read_fields_.insert(name);
  const auto field = object_.find(name);
  return field == object_.end() || field->is_null() ? nullptr : &*field;
}

std::string FieldReader::text(const std::string& name) {
  const Json* value = get(name);
  if (!value) return "";
  if (value->is_string()) return value->get<std::string>();
  add_invalid(name, "not a text");
  return "";
}

std::optional<int> FieldReader::integer(const std::string& name, int minimum, int maximum) {
  const Json* value = get(name);
  if (!value) return std::nullopt;
  if (value->is_number_integer() && *value >= minimum && *value <= maximum) return value->get<int>();
  add_invalid(name, "not a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
  return std::nullopt;
}

void FieldReader::refuse(const std::string& name, const std::string& why) {
  if (get(name)) causes_.push_back({path_of(name), why, kNotSupported});
}

void FieldReader::refuse_rest(const std::string& why) {
  for (const auto& [name, value] : object_.items()) {
    const bool has_no_effect = value.is_null() || (value.is_structured() && value.empty());
    if (has_no_effect || read_fields_.contains(name)) continue;
    causes_.push_back({path_of(name), why, kNotSupported});
  }
}

void FieldReader::add_invalid(const std::string& name, const std::string& why) {
  causes_.push_back({path_of(name), why});
}

void FieldReader::add_missing(const std::string& name, const std::string& why) {
  causes_.push_back({path_of(name), why, kRequired});
}

std::string FieldReader::path_of(const std::string& name) const {
  if (name.empty()) return path_;
  return path_.empty() ? name : path_ + "." + name;
}

}  // namespace corkmux::kube
