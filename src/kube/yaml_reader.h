// YAML as JSON values, at bounded cost.
//
// Guards against two kinds of input that yaml-cpp's own loading takes without end: aliases of aliases, where
// a few lines stand for more than memory holds, and broken streams of which version 0.7 makes documents for
// ever.
#pragma once
#include <string>

#include "request_body.h"

namespace corkmux::kube {

/// Reads a text of exactly one document. Throws UnsupportedBody, or YAML::Exception if it is no YAML.
Json read_yaml(const std::string& text);

}  // namespace corkmux::kube
