// Random choices of the scheduler.
//
// Owns the one generator that all of them are drawn from, so that a seed gives the same run again. The order
// in which choices are drawn is part of that.
#pragma once
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace corkmux {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : generator_(seed) {}
  RandomSource(const RandomSource&) = delete;
  RandomSource& operator=(const RandomSource&) = delete;

  /// For a distribution of the caller's.
  std::mt19937_64& generator() { return generator_; }
  /// Of 0 and up to `all`, at most `most`, drawn without any twice.
  std::vector<std::size_t> sample(std::size_t all, std::size_t most);
  /// A position, drawn in proportion to the weights, of which there is at least one.
  std::size_t draw_weighted(const std::vector<double>& weights);

 private:
  std::mt19937_64 generator_;
};

}  // namespace corkmux
