// Bodies in JSON or YAML as one form of JSON value, at bounded cost whatever was sent.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

namespace corkmux::kube {

using Json = nlohmann::json;

struct ParsedBody {
  Json value;
  std::string error;  // empty: `value` is an object
};
/// YAML where the content type says so, else JSON. One document, of bounded depth and size once its aliases
/// are written out.
ParsedBody parse_body(const std::string& text, const std::string& content_type);

}  // namespace corkmux::kube
