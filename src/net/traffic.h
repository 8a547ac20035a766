// Counts of the messages and bytes of this process, by kind: what `docs/CAPACITY.md` and the scale test
// measure. A kind is a method with the part of the path that names no single job, key or request.
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
  /// The count of that kind, which lives as long as the process. Callers choose paths, so kinds are bounded.
  TrafficCount& kind(Side side, std::string_view method, std::string_view target);
  const std::map<std::string, TrafficCount, std::less<>>& counts() const { return counts_; }

 private:
  static constexpr std::size_t kMaxKinds = 64;  // PROTOCOL and our own messages have some twenty
  std::map<std::string, TrafficCount, std::less<>> counts_;
};

}  // namespace corkmux::http
