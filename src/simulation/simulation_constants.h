// Constants of the stand-ins around the controllers: state service, cloud, workers, users, checker. What a
// plan's file says is not here.
#pragma once

namespace corkmux::simulation {

// --- state service ---
inline constexpr std::size_t kHistory = 10000;          // changes kept (PROTOCOL)
inline constexpr std::size_t kMostItems = 1000;         // a page (PROTOCOL)
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

// --- what faults have users do ---
inline constexpr double kCancelWindow = 0.2;  // s in which users cancel what a fault has them cancel
inline constexpr double kInvalidRequestInterval = 0.5;   // s between invalid requests
inline constexpr int kConcurrentReadsPerController = 2;  // close questions at each controller
inline constexpr double kConcurrentReadWindow = 0.02;    // s in which they come

// --- users (PROTOCOL) ---
inline constexpr double kSubmitWait = 5;     // s that a user waits for the answer to a submission or a cancel
inline constexpr double kPollWait = 2;       // s that a user waits for the answer to a status query
inline constexpr double kPollEvery = 5;      // s between a user's status queries
inline constexpr double kSubmitGiveUp = 60;  // s after which a user submits no more
inline constexpr double kAgain = 1;          // s until a user tries again
inline constexpr double kReadyEvery = 1;     // s between the load balancer's readiness probes
inline constexpr double kReadyWait = 1;      // s that it waits for the answer
inline constexpr double kReadyPause = 3;     // s for which a removed controller stays out, doubled each time
inline constexpr double kReadyPauseMost = 60;  // s
inline constexpr double kRefusedPause = 3;     // s without new connections after three that failed
inline constexpr double kSilentPolls = 90;     // s in which every poll for a job fails: forgotten
inline constexpr double kSilentInCalm = 75;    // s, once all faults are over, however others fare

// --- checker ---
inline constexpr double kLeftWaiting = 90;    // s that a job may wait in calm though a machine has room
inline constexpr double kLargestBegin = 240;  // s within which half of a class's largest jobs begin

}  // namespace corkmux::simulation
