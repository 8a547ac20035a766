// Reads YAML into JSON values at bounded cost.
//
// Guards against two kinds of input on which the loader of yaml-cpp does not terminate or exhausts memory:
// nested aliases, where a few lines expand to more than memory holds, and malformed streams from which
// version 0.7 produces documents endlessly.
#pragma once
#include <string>

#include "request_body.h"

namespace corkmux::kube {

/// Reads a text that consists of exactly one document. Throws UnsupportedBody if the document is not
/// accepted, YAML::Exception if the text is not YAML.
Json read_yaml(const std::string& text);

}  // namespace corkmux::kube
