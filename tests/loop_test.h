// The fixture of tests that run an event loop in real time.
#pragma once
#include <gtest/gtest.h>

#include <functional>

#include "event_loop.h"

namespace corkmux {

class LoopTest : public ::testing::Test {
 protected:
  /// `wait_limit_s`: the limit of each wait that is given none; generous, since a slow machine is not a
  /// failure.
  explicit LoopTest(double wait_limit_s = 20) : wait_limit_s_(wait_limit_s) {}

  /// Runs the loop until the condition holds. Returns whether it did within the limit.
  bool wait_for(const std::function<bool()>& condition) { return wait_for(condition, wait_limit_s_); }
  bool wait_for(const std::function<bool()>& condition, double limit_s) {
    double until = steady_now() + limit_s;
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
  double wait_limit_s_;
};

}  // namespace corkmux
