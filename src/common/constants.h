// Constants that several layers share.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

/// Share by which two steady clocks may differ: PROTOCOL promises 0.0005 for each of the two.
inline constexpr double kClockDrift = 0.001;
/// s added to every time-out that proves something: timer steps, scheduling of this process.
inline constexpr double kProofMargin = 0.5;

inline constexpr double kRetryPause = 0.15;  // s before a refused request to the state store is tried again
inline constexpr int kRecordFormat = 2;      // of the records that this version writes, see docs/design.md
inline constexpr std::size_t kSmallestRecord = 256;  // bytes; one task with long names still fits
inline constexpr double kRecordShare = 0.8;  // of value_kb for a list in one record; the rest is its frame

/// The state store counts terms; in the bits below, the leader numbers fencing tokens and attempts itself.
inline constexpr int kTermShift = 20;

}  // namespace corkmux::constants
