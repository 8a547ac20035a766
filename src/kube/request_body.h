// Bodies of requests, in JSON or YAML, as one form of JSON value.
//
// Guards against input that costs more than its size: depth and number of values are bounded, those of YAML
// once its aliases are written out.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace corkmux::kube {

using Json = nlohmann::json;

inline constexpr int kMaxBodyDepth = 64;      // levels; the API's own objects have some twelve
inline constexpr int kMaxBodyValues = 20000;  // values of YAML once aliases are written out

/// Thrown while a body is read that is well formed but not taken; the text is for the client.
struct UnsupportedBody : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Why a body was not taken, in words for the client.
struct BodyError {
  std::string text;
};

/// A body that was read.
struct ParsedBody {
  std::optional<Json> object;
  BodyError error = {};  // if there is no object
};

/// Reads one document that is an object: YAML where the content type says so, else JSON. Never throws.
ParsedBody parse_body(const std::string& text, const std::string& content_type);

}  // namespace corkmux::kube
