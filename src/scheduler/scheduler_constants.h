// Times, weights and limits of scheduling.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- state service ---
inline constexpr double kRestWait = 1.0;     // s that ends of tasks may wait for changes that launches need
inline constexpr int kTasksPerRecord = 256;  // tasks; a record that grows too large is split anyway

// --- workers ---
inline constexpr double kSilentReports = 2.6;  // report intervals without a word: place nothing there
inline constexpr double kDeadReports = 3.6;    // report intervals without a word: give the machine back
inline constexpr double kMaxSilentShare =
    0.4;  // of a zone's machines; above, the network is to blame, not them
inline constexpr double kCancelReserve = 3.0;  // s kept for a stop command to take effect

// --- placement ---
inline constexpr double kSlopeSmoothing = 0.3;       // weight of the newest slope of slack and heat
inline constexpr double kReservationTimeout = 30.0;  // s beyond the fetch until an unconfirmed start lapses

// --- preemption ---
inline constexpr double kNominationTime = 8.0;  // s a machine is kept for the job that work was stopped for

// --- faulty machines ---
inline constexpr double kFaultyDelay = 10.0;  // s that a machine's failures are weighed before it is given
                                              // up; jobs are tried elsewhere meanwhile
inline constexpr std::size_t kFailedJobsRemembered =
    8;                                       // of a machine that are remembered; two or three decide
inline constexpr double kCordonTime = 60.0;  // s a machine with one error is avoided

// --- fleet ---
inline constexpr double kBootLate = 3.0;      // times the catalog's boot time before a boot counts as dead
inline constexpr double kBootGrace = 15.0;    // s beyond that
inline constexpr double kGapSmoothing = 0.2;  // weight of the newest gap; about the last five jobs count
inline constexpr double kFreshArrival = 5.0;  // s; a job older than that when we first see it was loaded

// --- memory bounds ---
inline constexpr std::size_t kFinalCache = 4000;     // finished jobs remembered (about 100 bytes each)
inline constexpr std::size_t kReturnedNames = 2000;  // returned machines remembered; lists lag by seconds

}  // namespace corkmux::constants
