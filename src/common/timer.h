// A restartable timer that stops when it is destroyed.
#pragma once
#include <ev.h>

#include <cstdint>
#include <functional>
#include <utility>

#include "loop.h"

namespace corkmux {

class Timer {
 public:
  explicit Timer(Loop& loop) : loop_(loop) {
    ev_timer_init(&timer_, &Timer::on_fired, 0., 0.);
    timer_.data = this;
  }
  ~Timer() { stop(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  /// once() and every() replace the timer's previous setting.
  void once(double after_s, std::function<void()> callback) { start(after_s, 0., std::move(callback)); }
  void every(double period_s, std::function<void()> callback) {
    start(period_s, period_s, std::move(callback));
  }
  void stop() {
    if (!loop_.runtime()) return ev_timer_stop(loop_.raw(), &timer_);
    if (runtime_timer_) loop_.runtime()->stop(std::exchange(runtime_timer_, 0));
  }
  bool active() const { return loop_.runtime() ? runtime_timer_ != 0 : ev_is_active(&timer_); }

 private:
  void start(double after_s, double repeat_s, std::function<void()> callback) {
    stop();
    callback_ = std::move(callback);
    double delay_s = after_s < 0 ? 0 : after_s;
    if (loop_.runtime()) return start_on_runtime(delay_s, repeat_s);
    ev_now_update(loop_.raw());
    ev_timer_set(&timer_, delay_s, repeat_s);
    ev_timer_start(loop_.raw(), &timer_);
  }
  void start_on_runtime(double after_s, double repeat_s) {
    runtime_timer_ = loop_.runtime()->start(after_s, [this, repeat_s] {
      runtime_timer_ = 0;
      if (repeat_s > 0) start_on_runtime(repeat_s, repeat_s);
      auto callback = callback_;  // a copy, as in on_fired
      callback();
    });
  }
  static void on_fired(struct ev_loop*, ev_timer* timer, int) {
    // Copied, since the callback may restart or destroy the timer.
    const auto* fired = static_cast<Timer*>(timer->data);
    Loop& loop = fired->loop_;
    auto callback = fired->callback_;
    loop.run_guarded(callback);
  }

  Loop& loop_;
  ev_timer timer_{};
  std::uint64_t runtime_timer_ = 0;  // 0: not active
  std::function<void()> callback_;
};

}  // namespace corkmux
