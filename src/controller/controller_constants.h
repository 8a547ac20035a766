// Times and limits of what every controller does.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- HTTP ---
inline constexpr int kReservedSockets = 160;  // sockets kept for workers' orders, peers, state and cloud

// --- state service ---
inline constexpr double kSubmitTime = 3.0;  // s a submission may take us; its user waits 5 s
inline constexpr int kSubmitTries = 2;      // tries of a submission refused by the rate limit

// --- standing still and ending ---
inline constexpr double kEndTime = 4.0;  // s an orderly end takes at most; two requests to the state service
inline constexpr double kSuccessorTime =
    1.5;                                  // s an end waits for a successor to be known; elections take ms
inline constexpr double kEndLook = 0.05;  // s between looks whether everything is settled

// --- workers ---
inline constexpr double kRelayWindow = 8.0;  // s; a worker back within it could not reach the leader
inline constexpr double kLeaseProxyBatchDelay =
    0.25;                                   // s; workers beyond a cut come in a burst, a write names many
inline constexpr double kJobReads = 0.4;    // s between a keeper's reads of all jobs; a few pages each
inline constexpr double kRelayTime = 30.0;  // s a worker is served through us before it is sent on again

// --- memory bounds ---
inline constexpr std::size_t kSummaryCache = 4000;  // job summaries kept by followers

// --- peers ---
inline constexpr double kPeerTick = 1.0;     // s between summaries
inline constexpr double kPeerTimeout = 1.0;  // s
inline constexpr std::size_t kPeerConnections =
    256;                                        // a controller takes; each of twenty others opens some six
inline constexpr double kRefusedTold = 10;      // s between lines of the log about messages that are refused
inline constexpr std::size_t kBatchQueue = 64;  // batches that wait for one peer's connections
inline constexpr std::size_t kToldCancels = 500;  // in one list to a peer of a former version; about 6 KB
// Cancels of the last cancel_s. Each took two changes of the state service, so 20 changes a second and 57 s
// make some 600, 180 and 52 s some 4,700; as many again may have been asked about, whenever they were
// cancelled.
inline constexpr double kCancelMemory = 0.02;  // of our memory for the own ones, and as much for the peers'
inline constexpr double kCancelBytes = 150;    // of memory for one of them
inline constexpr double kBarrierReadInterval =
    1.0;                                      // s between looks at that record, while no peer has said it
inline constexpr double kRelayTimeout = 2.5;  // s; the worker waits 4 s
inline constexpr double kPeerLost = 3.0;      // s without an answer: reports are not relayed there

// --- workers served by all controllers ---
inline constexpr double kServedShare = 0.35;  // of a controller's sockets for workers' reports
/// Workers that a controller sends to another one for balance, a second: so many at least, or that share of
/// those it serves.
inline constexpr double kMovesPerSecond = 40, kMovesShare = 0.05;
inline constexpr double kFanInSettleTime =
    2.5;  // s until all controllers have heard who serves; they greet each 1 s
inline constexpr double kWorkerConnectionSweepInterval = 5;  // s between looks at workers that came once
inline constexpr double kWorkerConnectionMemory = 120;       // s a worker that came is remembered
inline constexpr double kFanInInterval = 0.5;                // s between looks at who serves

// --- mail through the state service ---
inline constexpr double kRelayWriteShare =
    0.1;  // of write_rps that one box may take; two or three are in use at a time
inline constexpr double kRelayBatchDelay =
    0.5;  // s at most that mail waits for company; a worker waits 4 s in all
inline constexpr double kStoreRelayTimeout = 3.0;         // s; the worker whose report it carries waits 4 s
inline constexpr double kStoreRelaySweepInterval = 0.25;  // s between looks for overdue mail
inline constexpr int kStoreRelaySlots = 8;  // records a box writes in turn, so that none is read overwritten
inline constexpr std::size_t kStoreRelayPendingLimit =
    1000;                                   // reports on their way; three a machine of a large zone
inline constexpr double kStateProbe = 0.7;  // s without an answer before a read asks whether it is there
inline constexpr double kStateLost = 2.5;   // s without the state service while a peer has it: not ready
inline constexpr double kStateSilent =
    12.0;  // s without it and without any peer: not ready. Longer than most outages, during which all would
           // go; far below the 75 s after which a job without an answer counts as forgotten

// --- Kubernetes-style clients ---
inline constexpr int kRetryAfter = 1;  // s told to callers; the shortest they respect

}  // namespace corkmux::constants
