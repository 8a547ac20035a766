// Calls back on the loop when the process receives a signal. Not available in a simulation.
#pragma once
#include <ev.h>

#include <functional>
#include <utility>

#include "loop.h"

namespace corkmux {

class SignalWatcher {
 public:
  SignalWatcher(Loop& loop, int number, std::function<void()> callback)
      : loop_(loop), callback_(std::move(callback)) {
    ev_signal_init(&signal_, &SignalWatcher::on_signal, number);
    signal_.data = this;
    ev_signal_start(loop_.raw(), &signal_);
  }
  ~SignalWatcher() { ev_signal_stop(loop_.raw(), &signal_); }
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  static void on_signal(struct ev_loop*, ev_signal* signal, int) {
    const auto* received = static_cast<SignalWatcher*>(signal->data);
    received->loop_.run_guarded(received->callback_);
  }

  Loop& loop_;
  ev_signal signal_{};
  std::function<void()> callback_;
};

}  // namespace corkmux
