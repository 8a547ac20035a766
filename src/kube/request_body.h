// Parses request bodies, JSON or YAML, into JSON values.
//
// Guards against input whose cost exceeds its size: the nesting depth is bounded, and for YAML also the
// number of values, counted after aliases are expanded.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace corkmux::kube {

using Json = nlohmann::json;

inline constexpr int kMaxBodyDepth = 64;      // levels; objects of the API have about twelve
inline constexpr int kMaxBodyValues = 20000;  // values of a YAML body after aliases are expanded

/// Thrown by the parsers for a body that is not accepted. The text is sent to the client.
struct UnsupportedBody : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Why a body was rejected. The text is sent to the client.
struct BodyError {
  std::string text;
};

/// The result of parsing a body.
struct ParsedBody {
  std::optional<Json> object;
  BodyError error = {};  // set if there is no object
};

/// Parses one document, which must be an object: YAML if the content type contains "yaml", else JSON. Never
/// throws.
ParsedBody parse_body(const std::string& text, const std::string& content_type);

}  // namespace corkmux::kube
