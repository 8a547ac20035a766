#include "request_body.h"

#include <yaml-cpp/exceptions.h>

#include "yaml_reader.h"

namespace corkmux::kube {
namespace {

Json read_json(const std::string& text) {
  auto check_depth = [](int depth, Json::parse_event_t, Json&) {
    if (depth > kMaxBodyDepth) throw UnsupportedBody("nested too deeply");
    return true;
  };
  const bool allow_exceptions = false;
  Json value = Json::parse(text, check_depth, allow_exceptions);
  if (value.is_discarded()) throw UnsupportedBody("the body is not JSON");
  return value;
}

/// Returns whether all strings of the value are UTF-8. Others could not be sent back, as JSON allows only
/// UTF-8.
bool is_utf8(const Json& value) {
  try {
    value.dump();
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

Json read_value(const std::string& text, const std::string& content_type) {
  const bool yaml = content_type.find("yaml") != std::string::npos;
  return yaml ? read_yaml(text) : read_json(text);
}

ParsedBody refused(std::string why) { return {std::nullopt, {std::move(why)}}; }

}  // namespace

ParsedBody parse_body(const std::string& text, const std::string& content_type) {
  try {
    Json value = read_value(text, content_type);
    if (!value.is_object()) return refused("the body is not an object");
    if (!is_utf8(value)) return refused("the body is not UTF-8");
    return {std::move(value)};
  } catch (const UnsupportedBody& error) {
    return refused(error.what());
  } catch (const YAML::Exception& error) {
    return refused(std::string("the body is not YAML: ") + error.what());
  }
}

}  // namespace corkmux::kube
