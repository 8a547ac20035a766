// Times and limits of a leader's term.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- state service ---
inline constexpr double kLeaderLeaseDuration = 3.0;    // s; how long a dead leader blocks its successor
inline constexpr double kElectionPollInterval = 0.25;  // s between looks while nobody leads and we could not
inline constexpr double kElectionRetryInterval = 0.3;  // s after a try that the state service did not take
inline constexpr double kWatchWait = 20.0;             // s; long polls are cheap, dead ones must be noticed
inline constexpr double kJobsWait =
    1.0;  // s a watch of the jobs waits; how old the leader's knowledge of cancels may be without any change
inline constexpr double kLeaderWriteShare = 0.7;  // of write_rps; the rest is for submissions and cancels
inline constexpr double kLeaderTick = 0.25;  // s between the leader's looks at leases, silence and displays
inline constexpr double kRevisionReadPause =
    0.01;  // s after a read of stamps or of a job's record before the next write
inline constexpr int kLostWatchLimit =
    3;  // in a row without an answer: what they would bring may be too large to take
inline constexpr double kRecordFormatPollInterval = 1.0;  // s between looks whether all controllers are new
inline constexpr int kMaxTransactionsInFlight =
    3;                                   // transactions of the leader; each takes some milliseconds
inline constexpr int kOutcomeReads = 4;  // awaited jobs looked up at the same time, of state.rps

// --- standing still and ending ---
inline constexpr double kStallThreshold =
    2.0;  // s between two ticks; eight times the usual, longer than any pass
inline constexpr double kResignTime =
    1.0;  // s a leader that ends waits for what is in flight; answers take ms
inline constexpr double kResignLook = 0.02;  // s between looks whether it is

// --- workers ---
inline constexpr double kKnownJob = 2.0;  // s a keeper trusts what it read of a job
inline constexpr double kLeaseProxyPollInterval =
    1.5;  // s between the leader's looks at them while a machine is silent
inline constexpr double kUnheardReports = 1.5;  // report intervals in which no worker at all spoke: cut off
inline constexpr int kUnheardMachines = 3;      // machines up that make such a silence telling

// --- placement (DESIGN's figures; docs/design.md says which were measured) ---
inline constexpr double kSchedulingInterval = 0.05;  // s between passes; lets events gather

// --- preemption ---
inline constexpr double kResumeTime =
    1.0;  // s a leader that stood still waits for the state service to confirm it; answers take ms

// --- fleet ---
inline constexpr double kNoCapacityPause = 20.0;  // s before a refused type and zone is asked again
inline constexpr int kRentsAtOnce = 3;            // requests; the cloud's rate also carries lists and returns
inline constexpr double kFleetTick = 1.0;         // s
inline constexpr double kListEvery = 8.0;         // s between machine lists
inline constexpr std::size_t kMaxDelete = 100;    // names; PROTOCOL

// --- memory bounds ---
inline constexpr double kParkedHeartbeatMemoryShare = 0.03;  // of our memory for reports that wait for a load
inline constexpr double kParkedHeartbeatBytes = 1000;        // of memory for one of them, with some tasks

// --- peers ---
inline constexpr double kBarrierWriteShare =
    0.125;  // of cancel_s between records of how far dependents of cancelled jobs are ended

// --- workers served by all controllers ---
inline constexpr double kForwardedCommandSlack =
    1;  // s beyond kCommandTimeout until their outcome is not awaited
/// Of a controller's sockets that connections for orders may take while they idle.
inline constexpr double kCommandConnectionShare = 0.25;
inline constexpr double kForgetEvery = 10;  // s between looks at what is remembered of machines that are gone

}  // namespace corkmux::constants
