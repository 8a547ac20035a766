// Times and limits of batched linearizable reads.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- questions about unfinished jobs ---
inline constexpr double kReadRateShare =
    0.5;  // of the state service's rate, of all controllers together: the rest is for what changes things
inline constexpr double kReadBurst = 0.5;     // s of that share that may come at once
inline constexpr double kReadDeadline = 1.2;  // s a question may wait; its user waits 2 s in all
inline constexpr double kReadBatchTimeout =
    0.3;  // s until a look's answer counts as lost and its jobs are in the next one; answers take 10 ms
inline constexpr double kReadBatchTimeoutFactor =
    4;                                              // as long as looks have taken of late, where that is more
inline constexpr double kReadBatchSmoothing = 0.3;  // weight of the newest look in that
inline constexpr int kSingleReadsInFlight = 4;      // jobs read at the same time
inline constexpr int kBatchMissesBeforeRead =
    3;  // comparisons that proved nothing until a job is read by itself
inline constexpr double kReadPumpInterval =
    0.002;                                   // s at least between looks at what waits; timers are no finer
inline constexpr int kMostConditions = 200;  // in one transaction; with the longest names 48 of its 64 KiB
inline constexpr double kKnownRevisionsMemoryShare = 0.02;  // of our memory for stamps of unfinished jobs
inline constexpr double kKnownRevisionBytes =
    200;  // of memory for one of them: name, stamp, two table entries

}  // namespace corkmux::constants
