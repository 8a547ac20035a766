// Checks that texts are UTF-8.
#pragma once
#include <string_view>

namespace corkmux::codec {

/// Whether the bytes are valid UTF-8 (RFC 3629).
bool is_utf8(std::string_view bytes);

}  // namespace corkmux::codec
