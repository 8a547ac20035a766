// Makes the scheduler's random choices.
//
// Owns the one generator that all choices are drawn from, so that a seed reproduces a run. Reproducing a run
// also requires that choices are drawn in the same order.
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

  /// The generator, for the caller's own distribution.
  std::mt19937_64& generator() { return generator_; }
  /// Returns at most `most` distinct positions, drawn at random from 0 to `all` - 1.
  std::vector<std::size_t> sample(std::size_t all, std::size_t most);
  /// Returns a position drawn with probability proportional to its weight; `weights` must not be empty.
  std::size_t draw_weighted(const std::vector<double>& weights);

 private:
  std::mt19937_64 generator_;
};

}  // namespace corkmux
