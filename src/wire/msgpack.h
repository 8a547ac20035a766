// Encoding and decoding of MessagePack bodies.
#pragma once
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace corkmux::codec {

using Json = nlohmann::json;

std::string pack(const Json& value);
/// Returns nullopt if the bytes are not exactly one MessagePack value, if it is nested deeper than kMaxDepth,
/// or if a text in it is not UTF-8. For requests, which are refused as a whole.
std::optional<Json> unpack(std::string_view bytes);
/// As unpack(), but a text that is not UTF-8 reads as null, and as a key as an empty text. For answers with
/// many items, one of which must not make the others unreadable.
std::optional<Json> unpack_answer(std::string_view bytes);

/// As unpack(), but texts may hold any bytes: controllers pass on encoded bodies as texts. Other texts of
/// such a message have to be checked where they are used.
std::optional<Json> unpack_with_encoded_bodies(std::string_view bytes);

/// Bytes of the value's JSON form, in which the protocol counts sizes.
std::size_t json_size(const Json& value);

}  // namespace corkmux::codec
