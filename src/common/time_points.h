// Moments on the steady clock, in seconds, that stand for "never" and "long ago".
#pragma once

namespace corkmux {

/// Later than any moment that is reached.
inline constexpr double kNever = 1e18;
/// Earlier than any moment since the process began; differences to it are still exact enough to compare.
inline constexpr double kLongAgo = -1e9;

}  // namespace corkmux
