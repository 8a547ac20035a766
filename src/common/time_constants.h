// Times that represent "never" and "long ago" on the steady clock. Both are finite, so they compare and
// subtract like any other time.
#pragma once

namespace corkmux {

inline constexpr double kNever = 1e18;    // s of the steady clock
inline constexpr double kLongAgo = -1e9;  // s of the steady clock

}  // namespace corkmux
