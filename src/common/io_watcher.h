// Calls back on the loop when a file descriptor is readable or writable. Does not own the descriptor. Not
// available in a simulation.
#pragma once
#include <ev.h>

#include <functional>
#include <utility>

#include "loop.h"

namespace corkmux {

class IoWatcher {
 public:
  /// `events`: the events that occurred, a combination of EV_READ and EV_WRITE.
  using Callback = std::function<void(int events)>;
  IoWatcher(Loop& loop, int descriptor, Callback callback) : loop_(loop), callback_(std::move(callback)) {
    ev_io_init(&io_, &IoWatcher::on_ready, descriptor, EV_NONE);
    io_.data = this;
  }
  ~IoWatcher() { ev_io_stop(loop_.raw(), &io_); }
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;
  /// Sets the events to wait for, a combination of EV_READ and EV_WRITE; 0: none.
  void set_events(int events) {
    if (events == events_) return;
    events_ = events;
    ev_io_stop(loop_.raw(), &io_);
    if (!events) return;
    ev_io_set(&io_, io_.fd, events);
    ev_io_start(loop_.raw(), &io_);
  }

 private:
  static void on_ready(struct ev_loop*, ev_io* io, int events) {
    // Copied, since the callback may destroy this watcher.
    const auto* ready = static_cast<IoWatcher*>(io->data);
    Loop& loop = ready->loop_;
    auto callback = ready->callback_;
    loop.run_guarded(callback, events);
  }

  Loop& loop_;
  ev_io io_{};
  int events_ = 0;
  Callback callback_;
};

}  // namespace corkmux
