// The fixture of tests whose subjects run on an event loop in real time.
#pragma once
#include <gtest/gtest.h>

#include <functional>

#include "event_loop.h"

namespace corkmux {

class LoopTest : public ::testing::Test {
 protected:
  /// Runs the loop until the condition holds. Returns whether it did within `at_most` seconds; generous,
  /// since a slow machine is no failure.
  bool wait_for(const std::function<bool()>& condition, double at_most = 40) {
    double until = steady_now() + at_most;
    Timer wake(loop);
    wake.every(kCheckInterval, [] {});
    bool met = condition();
    while (!met && steady_now() < until) {
      loop.run_once();
      met = condition();
    }
    return met;
  }

  Loop loop;

 private:
  static constexpr double kCheckInterval = 0.005;  // s
};

}  // namespace corkmux
