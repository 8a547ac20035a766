#include "random_ids.h"

#include <fmt/format.h>

#include <string_view>

#include "event_loop.h"

namespace corkmux::kube {
namespace {

constexpr int kSuffixLength = 5;
/// The alphabet of names that Kubernetes generates: no vowels, and no digits that look like vowels.
constexpr std::string_view kSuffixAlphabet = "bcdfghjklmnpqrstvwxz2456789";

}  // namespace

RandomIds::RandomIds() : rng_(fresh_seed()) {}

std::string RandomIds::name_suffix() {
  std::string suffix;
  std::uniform_int_distribution<std::size_t> distribution(0, kSuffixAlphabet.size() - 1);
  for (int i = 0; i < kSuffixLength; ++i) suffix += kSuffixAlphabet[distribution(rng_)];
  return suffix;
}

std::string RandomIds::uid() {
  std::uniform_int_distribution<std::uint64_t> distribution;
  const std::uint64_t high = (distribution(rng_) & ~0xf000ULL) | 0x4000ULL;
  const std::uint64_t low = (distribution(rng_) & ~(3ULL << 62)) | (2ULL << 62);
  return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", high >> 32, (high >> 16) & 0xffff, high & 0xffff,
                     low >> 48, low & 0xffffffffffffULL);
}

}  // namespace corkmux::kube
