// Constants that several layers share.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- clocks ---
/// Share by which two steady clocks may differ; PROTOCOL promises 0.0005, doubled because two clocks take
/// part.
inline constexpr double kClockDrift = 0.001;
/// s added to every time-out that proves something: timer steps, scheduling of this process.
inline constexpr double kProofMargin = 0.5;

// --- state service ---
inline constexpr double kRetryPause = 0.15;  // s before a refused state request is tried again
inline constexpr int kRecordFormat = 2;      // of the records that this version writes, see docs/design.md
inline constexpr std::size_t kSmallestRecord = 256;  // bytes; one task with long names still fits

// --- workers ---
inline constexpr double kRecordShare =
    0.8;  // of value_kb that a list in one record may take; the rest is its frame

// --- Kubernetes-style clients ---
/// Terms are counted in the state service; below each, the leader numbers tokens and attempts itself.
inline constexpr int kTermShift = 20;  // bits; 2^20 tokens a term, 2^44 terms

}  // namespace corkmux::constants
