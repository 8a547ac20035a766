// Encoding and decoding of MessagePack bodies.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace corkmux::codec {

using Json = nlohmann::json;

std::string pack(const Json& value);
/// Returns nullopt if the bytes are not exactly one MessagePack value, or if it is nested deeper than
/// kMaxDepth.
std::optional<Json> unpack(std::string_view bytes);

}  // namespace corkmux::codec
