// MessagePack bodies.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace corkmux::codec {

using Json = nlohmann::json;

std::string pack(const Json& value);
/// nullopt when the bytes are not one MessagePack value, or one that is nested too deeply.
std::optional<Json> unpack(std::string_view bytes);

}  // namespace corkmux::codec
