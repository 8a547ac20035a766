#include "quantity.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace corkmux::kube {

std::optional<double> parse_quantity(std::string_view text) {
  if (!text.empty() && text.front() == '+') text.remove_prefix(1);
  // Digits with at most one point: the number itself, read as such only, so that `1e3` is not taken twice.
  std::size_t n = 0;
  int points = 0, digits = 0;
  for (; n < text.size() && ((text[n] >= '0' && text[n] <= '9') || text[n] == '.'); ++n)
    text[n] == '.' ? ++points : ++digits;
  if (digits == 0 || points > 1 || text.size() > 64) return std::nullopt;
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + n, value, std::chars_format::fixed);
  if (error != std::errc() || end != text.data() + n) return std::nullopt;
  auto suffix = text.substr(n);
  static constexpr std::array<std::pair<std::string_view, double>, 16> kSuffixes{
      {{"", 1},
       {"n", 1e-9},
       {"u", 1e-6},
       {"m", 1e-3},
       {"k", 1e3},
       {"M", 1e6},
       {"G", 1e9},
       {"T", 1e12},
       {"P", 1e15},
       {"E", 1e18},
       {"Ki", 1024.0},
       {"Mi", 1048576.0},
       {"Gi", 1073741824.0},
       {"Ti", 1099511627776.0},
       {"Pi", 1125899906842624.0},
       {"Ei", 1152921504606846976.0}}};
  for (const auto& [name, factor] : kSuffixes)
    if (suffix == name) return value * factor;
  if (suffix.front() != 'e' && suffix.front() != 'E') return std::nullopt;
  suffix.remove_prefix(1);
  if (!suffix.empty() && suffix.front() == '+') suffix.remove_prefix(1);
  int exponent = 0;
  auto [last, bad] = std::from_chars(suffix.data(), suffix.data() + suffix.size(), exponent);
  if (bad != std::errc() || last != suffix.data() + suffix.size() || std::abs(exponent) > 30)
    return std::nullopt;
  return value * std::pow(10.0, exponent);
}

}  // namespace corkmux::kube
