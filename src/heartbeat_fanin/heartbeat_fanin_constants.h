// Times and limits of the heartbeat fan-in.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- workers ---
inline constexpr double kCommandTimeout = 3.0;  // s; a machine answers within milliseconds or hangs

inline constexpr double kChangeBatchDelay = 0.01;  // s that news and outcomes wait for company on their way
inline constexpr double kDeltaBatchDelay = 0.15;   // s for reports without news; their workers wait 4 s
inline constexpr int kBatchesInFlight = 2;         // to the leader; one more than it needs to be kept busy
inline constexpr std::size_t kBatchBytes = 48 * 1024;     // of one batch; a request may have 64 KiB
inline constexpr std::size_t kForwardBytes = 4 << 20;     // of reports that wait for the leader, all together
inline constexpr std::size_t kDeliveriesInFlight = 4000;  // orders on their way to workers
inline constexpr double kForwardTime = 2.5;    // s a report waits for a leader that takes it; its worker 4 s
inline constexpr double kForwardSweep = 0.25;  // s between looks at what has waited too long
inline constexpr double kConfirmedTime = 120;  // s a report that did not change is remembered
inline constexpr double kCommandConnectionScarceIdle = 5;  // s an order connection idles when there are many

}  // namespace corkmux::constants
