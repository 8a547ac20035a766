// Counts the messages and bytes of this process by kind, as reported in `docs/CAPACITY.md` and by the scale
// test. A kind is a method with the part of the path that does not identify a single job, key or request.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace corkmux::http {

struct TrafficCount {
  std::uint64_t messages = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
};

class Traffic {
 public:
  enum class Side { Sent, Served };
  static Traffic& of_process() {
    static Traffic traffic;
    return traffic;
  }
  /// Returns the count of that kind, which lives as long as the process. The number of kinds is bounded,
  /// since clients choose the paths.
  TrafficCount& kind(Side side, std::string_view method, std::string_view target);
  const std::map<std::string, TrafficCount, std::less<>>& counts() const { return counts_; }

 private:
  /// The protocol and the messages between controllers have about twenty kinds.
  static constexpr std::size_t kMaxKinds = 64;
  std::map<std::string, TrafficCount, std::less<>> counts_;
};

}  // namespace corkmux::http
