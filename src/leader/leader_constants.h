// A limit of the leader that the controller's plan of its sockets knows as well.
#pragma once

namespace corkmux::constants {

/// Of a controller's sockets, for idle connections on which commands are sent.
inline constexpr double kCommandConnectionShare = 0.25;

}  // namespace corkmux::constants
