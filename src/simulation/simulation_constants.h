// Constants of the simulated components around the controllers: state store, cloud, workers, users, checker.
// Values that a plan file sets are not here.
#pragma once

namespace corkmux::simulation {

// --- state store ---
inline constexpr std::size_t kMaxRetainedChanges = 10000;  // changes retained (protocol)
inline constexpr std::size_t kMaxPageItems = 1000;         // items per page (protocol)
inline constexpr std::size_t kMaxStateConnections = 2000;  // per listener; twenty controllers open some 260

// --- cloud ---
inline constexpr std::size_t kMaxCloudConnections = 200;  // accepted; three of each controller
inline constexpr double kCloudResponseDelay = 0.05;       // s
inline constexpr double kDeadListingTime = 30;            // s a dead machine is listed as running (protocol)
inline constexpr double kFailedBootShare = 0.01;          // of provisioned machines; "a few" (protocol)

// --- workers ---
inline constexpr double kMinHeartbeatInterval = 0.5;  // s between heartbeats that changes cause (protocol)
inline constexpr double kHeartbeatTimeout = 4;        // s (protocol)
inline constexpr double kNextControllerDelay = 1;     // s until the next controller is tried (protocol)
inline constexpr double kSpeedSpread = 0.1;           // speed difference of machines of a type (protocol)
inline constexpr double kFetchSpread = 0.3;           // difference between fetch times (protocol)
// Share of gang_peer_s until the other members of a gang detect a loss.
inline constexpr double kPeerLossDetectionShare = 0.8;
inline constexpr double kFaultyTaskDelay = 2;  // s until a task on a faulty machine fails

// --- user actions of faults ---
inline constexpr double kCancelWindow = 0.2;  // s over which the cancellations of a fault are spread
inline constexpr double kInvalidRequestInterval = 0.5;  // s between invalid requests
inline constexpr int kConcurrentReadsPerController = 2;
inline constexpr double kConcurrentReadWindow = 0.02;  // s over which concurrent reads are spread

// --- users (protocol) ---
inline constexpr double kSubmitTimeout = 5;  // s to wait for the response to a submission or a cancellation
inline constexpr double kPollTimeout = 2;    // s to wait for the response to a status query
inline constexpr double kPollInterval = 5;   // s between a user's status queries
inline constexpr double kSubmitRetryTime = 60;  // s after which a user stops retrying a submission
inline constexpr double kRetryDelay = 1;        // s until a user retries a request
inline constexpr double kProbeInterval = 1;     // s between the load balancer's readiness probes
inline constexpr double kProbeTimeout = 1;      // s to wait for the response to a readiness probe
inline constexpr double kReadmitDelay = 3;  // s that a removed controller stays out, doubled at each removal
inline constexpr double kMaxReadmitDelay = 60;       // s, limit of the doubling
inline constexpr double kFailedConnectionPause = 3;  // s without new connections after three failed ones
inline constexpr double kMaxUnansweredTime = 90;     // s of failed polls while others succeed: forgotten
inline constexpr double kMaxUnansweredTimeAfterFaults = 75;  // s, also if no poll succeeds

// --- checker ---
inline constexpr double kMaxWaitAfterFaults = 90;     // s that a job may wait despite free capacity
inline constexpr double kLargestJobStartLimit = 240;  // s within which half of a class's largest jobs start

}  // namespace corkmux::simulation
