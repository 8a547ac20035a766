// Times and limits of the state store's client, the machine catalog and the outage log.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- state service ---
inline constexpr double kLeaderLeaseRenewInterval = 0.75;  // s; three tries within one life
inline constexpr double kStateTimeout = 2.0;               // s; answers take 10 ms, now and then some 100 ms
inline constexpr double kReadTimeout = 1.5;                // s; below the 2 s a user waits for a query
inline constexpr double kWatchSlack = 5.0;                 // s beyond the wait before a watch counts as lost
inline constexpr int kStateConnections = 6;                // sockets; each request takes some milliseconds
inline constexpr int kListPage = 100;                      // items a page; keeps one answer far below 512 KiB

// --- what the log says of services that do not answer ---
inline constexpr double kOutagePatience =
    2.0;                                     // s until a service that has answered before is said to be away
inline constexpr double kOutageAgain = 5.0;  // s until it is said again; doubled each time
inline constexpr double kOutageAgainMost = 300.0;  // s; a line in five minutes is not lost in a day's log

// --- fleet ---
inline constexpr double kCloudTimeout = 4.0;    // s
inline constexpr double kCatalogEvery = 300.0;  // s; prices move, types hardly

}  // namespace corkmux::constants
