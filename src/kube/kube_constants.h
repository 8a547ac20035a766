// Limits of the Kubernetes API.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- Kubernetes-style clients ---
inline constexpr int kKubeConnections = 600;       // sockets for them, of those that users have otherwise
inline constexpr int kKubeShare = 4;               // at most one in so many of these
inline constexpr double kKubeWatchWait = 0.5;      // s; a watch hears of a change at most so much late
inline constexpr std::size_t kKubeHistory = 2000;  // changes kept for watches that are taken up again
inline constexpr std::size_t kKubeHistoryBytes = 4 << 20;  // of them together
inline constexpr std::size_t kKubeUnsent = 64 << 10;  // bytes on the way to one watcher; the rest waits there
inline constexpr double kKubePump = 0.02;             // s until those that were behind are sent more
inline constexpr double kKubeBookmark = 15;           // s between bookmarks
inline constexpr double kKubeWatchLife = 1800;        // s of a watch at most; clients take it up again
inline constexpr int kKubeDepth = 64;            // levels of a body; the API's own objects have some twelve
inline constexpr int kKubeValues = 20000;        // values of a body once aliases are written out
inline constexpr std::size_t kKubePage = 500;    // objects in one answer to a list, whatever is asked for
inline constexpr int kKubeReads = 8;             // reads of the state service under way for one list
inline constexpr int kKubeScan = 5000;           // objects looked at for one answer to a list with a selector
inline constexpr std::size_t kTokenLeast = 16;   // bytes of a secret
inline constexpr std::size_t kTokenMost = 256;   // bytes of a secret
inline constexpr int kKubeTries = 3;             // of a write that met a change
inline constexpr double kKubeMostAmount = 1e12;  // of an annotation, in its unit

}  // namespace corkmux::constants
