// The numbers that a leader gives to fencing tokens and attempts.
//
// A number holds a term in its upper bits and a counter in its lower kTermShift bits, so that the numbers of
// a later leader are higher. Owns the counter and knows which terms the state store has reserved for this
// leader: the one of its election, and further ones once the counter nears its end. Never returns a number of
// a term that is not reserved, and never one that is lower than one before it. It does not reserve terms
// itself.
#pragma once
#include <cstdint>
#include <optional>

#include "constants.h"

namespace corkmux {
namespace constants {

/// Numbers of one term; the counter's 0 is never issued.
inline constexpr std::uint64_t kNumbersPerTerm = (std::uint64_t{1} << kTermShift) - 1;
/// Numbers that are left when a further term has to be reserved: enough until the state store has answered.
inline constexpr std::uint64_t kNumbersLeftToReserve = kNumbersPerTerm / 4;
/// Terms that a worker's token may be ahead of this leader's. Former versions had no bound on the counter, so
/// their tokens may lie in terms that were never claimed. Tokens further ahead are taken for invalid.
inline constexpr std::uint64_t kMaxTermsAhead = 4096;

}  // namespace constants

/// The lowest fencing token of a term. No command carries it: those of the term have higher ones, and those
/// of all earlier terms lower ones.
inline std::uint64_t lowest_token(std::uint64_t term) { return term << constants::kTermShift; }

class SequenceNumbers {
 public:
  explicit SequenceNumbers(std::uint64_t term);

  /// All numbers that this leader issues are higher.
  std::uint64_t base() const { return base_; }
  /// The next number; nullopt: the numbers of all reserved terms are used up.
  std::optional<std::uint64_t> next();
  /// Whether this leader cannot have issued the number, since it is higher than all that it has issued.
  bool is_foreign(std::uint64_t number) const { return number > last_; }
  /// Records a number above this leader's own that a worker has reported.
  void note_foreign(std::uint64_t number);

  /// The lowest term that the state store has to reserve now, if any.
  std::optional<std::uint64_t> term_to_reserve() const;
  /// Continues with the numbers of a term that the state store has reserved for this leader.
  void continue_in(std::uint64_t term);
  /// Whether a number was refused, or a foreign one is in use: the leader has to begin a new term, so that
  /// every machine gets a token above all that are in use.
  bool needs_new_leader_term() const { return exhausted_ || foreign_term_ > 0; }

 private:
  std::uint64_t left() const { return constants::kNumbersPerTerm - (last_ & constants::kNumbersPerTerm); }

  std::uint64_t base_;
  std::uint64_t last_;              // issued last, or the base of its term
  std::uint64_t foreign_term_ = 0;  // the highest term of a foreign number
  bool exhausted_ = false;
};

}  // namespace corkmux
