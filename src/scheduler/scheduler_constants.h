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

// --- placement (DESIGN's figures; docs/design.md says which were measured) ---
inline constexpr double kTau = 1.0;     // paper III-D: temperature of the zone draw
inline constexpr double kGamma = 0.5;   // weight of heat against slack
inline constexpr int kSampleSize = 12;  // fitting machines looked at per pick; DESIGN starts at 8
inline constexpr int kBucketsExamined =
    64;  // kinds of room looked at per pool of machines; bounds a decision
inline constexpr double kScoreNoise = 0.05;  // standard deviation of the pick's jitter, in units of utility
inline constexpr double kSlopeSmoothing = 0.3;       // weight of the newest slope of slack and heat
inline constexpr double kReservationTimeout = 30.0;  // s beyond the fetch until an unconfirmed start lapses
inline constexpr double kFetchWeight = 0.5;          // utility lost per second of image fetch
inline constexpr int kBidsPerCycle = 96;             // bids per pass; bounds the time of one turn
inline constexpr double kGuaranteeBoost = 64.0;      // weight factor for work within its team's guarantee
// Work without need of accelerators takes such a machine only while this share of all accelerators stays
// free.
// What an accelerator machine costs in utility for work that needs none; about one second of image fetch.
inline constexpr double kAcceleratorPenalty = 0.3;
inline constexpr double kAcceleratorReserve = 0.25;
// Gangs that become due gather their places.
inline constexpr double kDueShare = 0.8;  // of the time to its last start aim, after which a job is due
inline constexpr double kHeldPatience =
    75.0;  // s that a job waits while room under its team's limit is kept for more urgent work: the operators
           // count one as left waiting after 90 s, and it still has to be placed
// The operators' mark: half of a class's largest jobs begin within four minutes, whatever flows past them.
inline constexpr double kBeginWithin = 240.0;  // s
inline constexpr double kBeginShare =
    0.5;  // of it, after which an array of which nothing has begun goes first
inline constexpr int kBeginTasks =
    20;  // that it has at least: its first task is then a twentieth of it at most, so that
         // a flood of small ones is still served one after the other
inline constexpr double kFreeingWindow =
    10.0;  // s over which the rate is taken at which a zone's places become free
inline constexpr double kZoneHoldLimit =
    5.0;  // s; what is kept idle meanwhile costs more than the gang's wait beyond

// --- starvation protection ---
inline constexpr double kDefaultJobEstimate =
    60.0;  // s; work without one counts as so long for those behind it

// --- preemption ---
inline constexpr double kClaimAfter =
    0.25;  // of the guarantee's aim that a job waits before it claims its places
inline constexpr int kPreemptorsPerCycle = 4;  // jobs that may stop others in one pass; bounds its time
inline constexpr double kCheckpointWorth =
    2.0;  // saves are asked for when half a checkpoint costs more than this many
inline constexpr std::size_t kPreemptionCandidatesExamined =
    512;  // machines or tasks looked at for one job that may stop others; bounds a decision
inline constexpr double kFreshStart = 30.0;  // s; PROTOCOL counts a start only if it is left alone that long
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
