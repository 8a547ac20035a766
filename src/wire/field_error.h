// The error for a rejected submission.
#pragma once
#include <string>

namespace corkmux::codec {

struct FieldError {
  std::string field;  // empty: the body as a whole
  std::string problem;
  /// The error text for users.
  std::string text() const { return field.empty() ? problem : field + ": " + problem; }
};

}  // namespace corkmux::codec
