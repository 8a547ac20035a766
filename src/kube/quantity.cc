#include "quantity.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace corkmux::kube {
namespace {

constexpr std::size_t kMaxQuantityBytes = 64;
constexpr int kMaxExponent = 30;

struct Suffix {
  std::string_view text;
  double factor;
};
constexpr std::array<Suffix, 16> kSuffixes{{{"", 1},
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

void remove_plus(std::string_view& text) {
  if (!text.empty() && text.front() == '+') text.remove_prefix(1);
}

/// Returns the length in bytes of the leading number: digits with at most one decimal point. 0 if there is no
/// number.
std::size_t number_length(std::string_view text) {
  const std::size_t length = std::min(text.find_first_not_of("0123456789."), text.size());
  const std::string_view number = text.substr(0, length);
  const auto points = std::count(number.begin(), number.end(), '.');
  const auto digits = static_cast<std::ptrdiff_t>(length) - points;
  return digits > 0 && points <= 1 ? length : 0;
}

/// Parses an exponent such as `e3` or `E-1` and returns the power of ten.
std::optional<double> parse_exponent(std::string_view text) {
  if (text.front() != 'e' && text.front() != 'E') return std::nullopt;
  text.remove_prefix(1);
  remove_plus(text);
  int exponent = 0;
  auto [parsed_to, error] = std::from_chars(text.data(), text.data() + text.size(), exponent);
  if (error != std::errc() || parsed_to != text.data() + text.size()) return std::nullopt;
  if (std::abs(exponent) > kMaxExponent) return std::nullopt;
  return std::pow(10.0, exponent);
}

std::optional<double> suffix_factor(std::string_view text) {
  const auto* suffix = std::find_if(kSuffixes.begin(), kSuffixes.end(),
                                    [text](const Suffix& known) { return known.text == text; });
  if (suffix != kSuffixes.end()) return suffix->factor;
  return parse_exponent(text);
}

}  // namespace

std::optional<double> parse_quantity(std::string_view text) {
  remove_plus(text);
  const std::size_t length = number_length(text);
  if (length == 0 || text.size() > kMaxQuantityBytes) return std::nullopt;
  // Parses the mantissa only: suffix_factor applies the exponent of `1e3`, which must not be applied twice.
  double value = 0;
  const char* number_end = text.data() + length;
  auto [parsed_to, error] = std::from_chars(text.data(), number_end, value, std::chars_format::fixed);
  if (error != std::errc() || parsed_to != number_end) return std::nullopt;
  auto factor = suffix_factor(text.substr(length));
  if (!factor) return std::nullopt;
  return value * *factor;
}

}  // namespace corkmux::kube
