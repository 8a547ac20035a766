// Parsing of numbers in headers and addresses.
#pragma once
#include <charconv>
#include <string_view>
#include <system_error>

namespace corkmux::http {

/// Returns whether the whole text is a number, and sets `out` if so.
template <typename Number>
bool parse_number(std::string_view text, Number& out, int base = 10) {
  if (text.empty()) return false;
  const char* text_end = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), text_end, out, base);
  return error == std::errc() && end == text_end;
}

}  // namespace corkmux::http
