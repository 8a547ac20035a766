#include "random_source.h"

#include <numeric>
#include <set>

namespace corkmux {

std::vector<std::size_t> RandomSource::sample(std::size_t all, std::size_t most) {
  std::vector<std::size_t> positions;
  if (all <= most) {
    positions.resize(all);
    std::iota(positions.begin(), positions.end(), 0);
    return positions;
  }
  // Floyd's algorithm: draws each set of `most` positions with equal probability, without a list of all.
  std::set<std::size_t> taken;
  for (std::size_t last = all - most; last < all; ++last) {
    const std::size_t drawn = std::uniform_int_distribution<std::size_t>(0, last)(generator_);
    positions.push_back(taken.insert(drawn).second ? drawn : last);
    taken.insert(positions.back());
  }
  return positions;
}

std::size_t RandomSource::draw_weighted(const std::vector<double>& weights) {
  double total = 0;
  for (double weight : weights) total += weight;
  double drawn = std::uniform_real_distribution<double>(0, total)(generator_);
  std::size_t position = 0;
  while (position + 1 < weights.size() && drawn >= weights[position]) {
    drawn -= weights[position];
    ++position;
  }
  return position;
}

}  // namespace corkmux
