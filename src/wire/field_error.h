// Why a submission is refused.
#pragma once
#include <string>

namespace corkmux::codec {

struct FieldError {
  std::string field;  // empty: the body as a whole
  std::string problem;
  /// For users.
  std::string text() const { return field.empty() ? problem : field + ": " + problem; }
};

}  // namespace corkmux::codec
