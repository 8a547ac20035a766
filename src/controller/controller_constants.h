// Times and limits that several modules of the controller share.
#pragma once
#include <cstddef>

namespace corkmux::constants {

/// s without an answer of the state store until the connection to it counts as lost.
inline constexpr double kStateStoreLostAfter = 2.5;
/// s without an answer of the state store until a controller no longer counts as able to do its work. Longer
/// than most outages; far below the 75 s after which a job without an answer counts as forgotten.
inline constexpr double kStateStoreOutageLimit = 12.0;
/// Job views that a controller keeps, for itself and for each peer.
inline constexpr std::size_t kMaxCachedJobViews = 4000;
inline constexpr double kPeerTimeout = 1.0;   // s that a peer may take to answer
inline constexpr double kRelayTimeout = 2.5;  // s that a peer may take for heartbeats; their workers wait 4 s

}  // namespace corkmux::constants
