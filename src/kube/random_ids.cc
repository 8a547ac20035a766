#include "random_ids.h"

#include <fmt/format.h>

#include <string_view>

#include "event_loop.h"

namespace corkmux::kube {
namespace {

constexpr int kSuffixLetters = 5;
/// As in the API's own generated names: without vowels and digits that are taken for them.
constexpr std::string_view kLetters = "bcdfghjklmnpqrstvwxz2456789";

}  // namespace

RandomIds::RandomIds() : rng_(fresh_seed()) {}

std::string RandomIds::name_suffix() {
  std::string suffix;
  std::uniform_int_distribution<std::size_t> any(0, kLetters.size() - 1);
  for (int i = 0; i < kSuffixLetters; ++i) suffix += kLetters[any(rng_)];
  return suffix;
}

std::string RandomIds::uid() {
  std::uniform_int_distribution<std::uint64_t> any;
  const std::uint64_t high = (any(rng_) & ~0xf000ULL) | 0x4000ULL;
  const std::uint64_t low = (any(rng_) & ~(3ULL << 62)) | (2ULL << 62);
  return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", high >> 32, (high >> 16) & 0xffff, high & 0xffff,
                     low >> 48, low & 0xffffffffffffULL);
}

}  // namespace corkmux::kube
