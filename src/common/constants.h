// Constants that several layers share.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

/// Maximum relative rate difference of two steady clocks: the protocol guarantees 0.0005 for each of the two.
inline constexpr double kClockDrift = 0.001;
/// s added to every timeout that safety depends on; covers timer granularity and scheduling delays of this
/// process.
inline constexpr double kTimeoutSafetyMargin = 0.5;

inline constexpr double kRetryPause = 0.15;  // s before a rejected request to the state store is retried
inline constexpr int kRecordFormat = 2;      // record format that this version writes, see docs/design.md
inline constexpr std::size_t kSmallestRecord = 256;  // bytes; enough for one task with long names
/// Share of value_kb for the list of one record; the enclosing fields need the rest.
inline constexpr double kRecordShare = 0.8;

/// bits of a fencing token or attempt number that the leader numbers itself; the bits above are the term,
/// which the state store counts.
inline constexpr int kTermShift = 20;
/// The highest term whose tokens are 64-bit numbers, with room for those of terms reserved while it leads.
inline constexpr std::uint64_t kLastTerm = (std::uint64_t{1} << (64 - kTermShift)) - 2;

}  // namespace corkmux::constants
