// Constants of the simulated surroundings, each with unit and reason. What a plan's file says is not here.
#pragma once

namespace corkmux::simulation {

// --- clocks (DEPLOY) ---
inline constexpr double kDrift = 0.0005;     // the most by which steady clocks run fast or slow
inline constexpr double kTimerStep = 0.001;  // s; timers fire in steps of a millisecond or a few
inline constexpr double kEpoch = 1000;  // s of the steady clock at the start; never 0, which may mean never
inline constexpr double kWallEpoch = 1700000000;  // s since 1970 at the start

// --- network ---
inline constexpr double kNearDelay = 0.0004;   // s one way within a zone
inline constexpr double kFarDelay = 0.0015;    // s one way between zones and to regional services
inline constexpr double kResendShare = 0.001;  // of messages whose packet is lost and sent again
inline constexpr double kResend = 0.2;         // s until it is; the usual first retransmission

// --- state service ---
inline constexpr std::size_t kHistory = 10000;    // changes kept (PROTOCOL)
inline constexpr std::size_t kMostItems = 1000;   // a page (PROTOCOL)
inline constexpr double kLeaseExpiryDelay = 0.1;  // s by which a lease may end late (PROTOCOL)
inline constexpr double kStateQuick = 0.004;      // s an answer takes, usually under 10 ms (PROTOCOL)
inline constexpr double kStateSlowShare = 0.005;  // of answers that take longer
inline constexpr double kStateSlow = 0.25;        // s; a few hundred ms (PROTOCOL)

inline constexpr std::size_t kStateConnections = 2000;  // a door takes; twenty controllers open some 260

// --- cloud ---
inline constexpr std::size_t kCloudConnections = 200;  // it takes; three of each controller
inline constexpr double kCloudAnswer = 0.05;           // s
inline constexpr double kDeadListed = 30;  // s a dead machine is still listed as running (PROTOCOL)
inline constexpr double kNeverUp = 0.01;   // of rented machines; "a few" (PROTOCOL)

// --- workers ---
inline constexpr double kMinHeartbeatInterval = 0.5;  // s between heartbeats that changes cause (PROTOCOL)
inline constexpr double kHeartbeatTimeout = 4;        // s (PROTOCOL)
inline constexpr double kNextControllerDelay = 1;     // s until the next controller is tried (PROTOCOL)
inline constexpr double kSpeedSpread = 0.1;           // by which machines of a type differ (PROTOCOL)
inline constexpr double kFetchSpread = 0.3;           // by which fetches differ (PROTOCOL)
inline constexpr double kPeerLossDetectionShare =
    0.8;  // of gang_peer_s until the other members of a gang notice a loss
inline constexpr double kFaultyTaskDelay = 2;  // s until a task on a faulty machine fails

inline constexpr double kLeaseExpirySlack = 0.05;  // s by which a hanging machine's tasks end after its lease

// --- what comes late, as the operators' bench has it ---
inline constexpr double kMinDeliveryDelay = 2;       // s
inline constexpr double kMaxWriteDelay = 12;         // s
inline constexpr double kLateHeartbeatLeases = 1.5;  // leases
inline constexpr std::size_t kHeldCopies = 400;  // of heartbeats, held for the next leader; some per machine
inline constexpr double kCancelWindow = 0.2;     // s in which users cancel what a fault has them cancel
inline constexpr std::size_t kMaxHangingMachines = 8;    // machines that hang with it
inline constexpr double kInvalidRequestInterval = 0.5;   // s between invalid requests
inline constexpr int kConcurrentReadsPerController = 2;  // close questions at each controller
inline constexpr double kConcurrentReadWindow = 0.02;    // s in which they come
inline constexpr double kRecentBoot = 3;                 // s since it is up; a machine's first seconds
inline constexpr int kUsersPort = 8080;                  // of controllers, for users and workers

// --- users (PROTOCOL) ---
inline constexpr double kSubmitWait = 5, kPollWait = 2, kPollEvery = 5, kSubmitGiveUp = 60, kAgain = 1;  // s
inline constexpr double kReadyEvery = 1, kReadyWait = 1, kReadyPause = 3, kReadyPauseMost = 60;          // s
inline constexpr double kRefusedPause = 3;   // s without new connections after three that failed
inline constexpr double kSilentPolls = 90;   // s in which every poll for a job fails: forgotten
inline constexpr double kSilentInCalm = 75;  // s, once all faults are over, however others fare

// --- checker ---
inline constexpr double kProgressInterval = 0.25;  // s between checks whether work that fits waits
inline constexpr double kLeaderDetectionInterval =
    0.01;  // s between checks for a new leader while heartbeats are held for it
inline constexpr double kLeftWaiting = 90;    // s that a job may wait in calm though a machine has room
inline constexpr int kLargestCounted = 4;     // jobs of a class at least, for a share of them to say anything
inline constexpr double kLargestBegin = 240;  // s within which half of a class's largest jobs begin

}  // namespace corkmux::simulation
