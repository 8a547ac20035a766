#include "request_target.h"

#include <algorithm>

namespace corkmux::kube {
namespace {

std::optional<int> hex_digit(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return std::nullopt;
}

std::optional<std::string> percent_decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    auto high = hex_digit(text[i + 1]);
    auto low = hex_digit(text[i + 2]);
    if (!high || !low) return std::nullopt;
    out += static_cast<char>(*high * 16 + *low);
    i += 2;
  }
  return out;
}

}  // namespace

std::string target_path(std::string_view target) {
  std::string path(target.substr(0, target.find('?')));
  while (path.size() > 1 && path.back() == '/') path.pop_back();
  return path;
}

std::optional<std::map<std::string, std::string>> target_query(std::string_view target) {
  std::map<std::string, std::string> query;
  auto question = target.find('?');
  if (question == std::string_view::npos) return query;
  for (const auto& pair : split(target.substr(question + 1), '&')) {
    auto equals = std::min(pair.find('='), pair.size());
    auto value = percent_decode(std::string_view(pair).substr(std::min(pair.size(), equals + 1)));
    if (!value) return std::nullopt;
    query[pair.substr(0, equals)] = *value;
  }
  return query;
}

std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    auto end = std::min(text.find(separator), text.size());
    if (end) parts.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(text.size(), end + 1));
  }
  return parts;
}

}  // namespace corkmux::kube
