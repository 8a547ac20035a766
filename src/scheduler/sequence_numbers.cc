#include "sequence_numbers.h"

#include <algorithm>

namespace corkmux {
namespace c = constants;

SequenceNumbers::SequenceNumbers(std::uint64_t term) : base_(lowest_token(term)), last_(base_) {}

std::optional<std::uint64_t> SequenceNumbers::next() {
  if (left() == 0) {
    exhausted_ = true;
    return std::nullopt;
  }
  return ++last_;
}

void SequenceNumbers::note_foreign(std::uint64_t number) {
  const std::uint64_t term = number >> c::kTermShift;
  const std::uint64_t own_term = last_ >> c::kTermShift;
  if (term <= own_term + c::kMaxTermsAhead) foreign_term_ = std::max(foreign_term_, term);
}

std::optional<std::uint64_t> SequenceNumbers::term_to_reserve() const {
  if (foreign_term_ > 0) return foreign_term_;
  if (left() <= c::kNumbersLeftToReserve) return (last_ >> c::kTermShift) + 1;
  return std::nullopt;
}

void SequenceNumbers::continue_in(std::uint64_t term) { last_ = std::max(last_, lowest_token(term)); }

}  // namespace corkmux
