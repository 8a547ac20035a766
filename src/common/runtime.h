// The interface of a simulated host that replaces libev and the system: clocks, timers, randomness and a
// transport. Code outside this folder and `src/net/` does not depend on which of the two it runs on.
#pragma once
#include <cstdint>
#include <functional>

namespace corkmux {

namespace http {
class Transport;
}

/// One simulated host, on which a Loop runs instead of libev. While a host's messages run, `in_use` points
/// to its runtime.
class Runtime {
 public:
  virtual ~Runtime() = default;
  /// Seconds on the steady clock.
  virtual double steady() const = 0;
  /// Seconds since 1970.
  virtual double wall() const = 0;
  virtual std::uint64_t random() = 0;
  /// Runs `callback` once, `after_s` seconds of the steady clock from now. Returns its id for stop(), never
  /// 0.
  virtual std::uint64_t start(double after_s, std::function<void()> callback) = 0;
  virtual void stop(std::uint64_t timer) = 0;
  virtual http::Transport& transport() = 0;
  /// Null in the deployed programs.
  inline static Runtime* in_use = nullptr;
};

}  // namespace corkmux
