// Thin owners of libev watchers, and the mailbox through which actors are spoken to. The one place where
// time, timers and randomness come from: libev and the system in the program, a Driver in a world
// (`src/simulation/`).
#pragma once
#include <ev.h>
#include <time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>

namespace corkmux {

namespace http {
class Transport;
}

/// One simulated host, on which a Loop runs instead of libev. Nothing above this file and `src/net/` knows
/// which it has. While a host's messages run, its driver is the one in use.
class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual double steady() const = 0;  // s
  virtual double wall() const = 0;    // s since 1970
  virtual std::uint64_t random() = 0;
  /// Runs `fn` once, `after_s` of the steady clock from now; the answer names it to stop() and is never 0.
  virtual std::uint64_t start(double after_s, std::function<void()> fn) = 0;
  virtual void stop(std::uint64_t timer) = 0;
  virtual http::Transport& transport() = 0;
  inline static Runtime* in_use = nullptr;
};

/// Seconds on the steady clock; only differences mean anything.
inline double steady_now() {
  if (Runtime::in_use) return Runtime::in_use->steady();
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
}

/// Seconds since 1970; accurate only within the platform's skew, so nothing about safety rests on it.
inline double wall_now() {
  if (Runtime::in_use) return Runtime::in_use->wall();
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
}

/// A seed that nobody can foresee; in a world, the next of its own.
inline std::uint64_t fresh_seed() {
  return Runtime::in_use ? Runtime::in_use->random() : std::uint64_t{std::random_device{}()};
}

class Loop {
 public:
  using Message = std::function<void()>;
  Loop() : loop_(ev_loop_new(EVFLAG_AUTO)) {
    ev_idle_init(&idle_, &Loop::drain);
    idle_.data = this;
  }
  /// Is run by the driver, not by run(); has no Io and no Signal.
  explicit Loop(Runtime& runtime) : runtime_(&runtime) {}
  ~Loop() {
    queue_.clear();  // what waits in messages may own watchers, which need the loop
    for (auto& [id, call] : delayed_) ev_timer_stop(loop_, &call->timer);
    if (runtime_)
      runtime_->stop(waiting_);
    else
      ev_loop_destroy(loop_);
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  Runtime* runtime() { return runtime_; }

  struct ev_loop* raw() {
    return loop_;
  }
  void run() { ev_run(loop_, 0); }
  void run_once() { ev_run(loop_, EVRUN_ONCE); }
  void stop() { ev_break(loop_, EVBREAK_ALL); }
  /// Queues a message; it runs in a later turn of the loop, never inside the sender's.
  void post(Message message) {
    if (queue_.empty()) {
      if (runtime_)
        waiting_ = runtime_->start(0, [this] { run_batch(); });
      else
        ev_idle_start(loop_, &idle_);
    }
    queue_.push_back(std::move(message));
  }
  /// Runs `fn` once, `after_s` from now; the answer names it to cancel() and is never 0.
  std::uint64_t call_later(double after_s, std::function<void()> fn) {
    if (runtime_) return runtime_->start(after_s, std::move(fn));
    auto id = ++last_delayed_;
    auto call = std::make_unique<DelayedCall>();
    call->loop = this, call->id = id, call->fn = std::move(fn);
    ev_now_update(loop_);
    ev_timer_init(&call->timer, &Loop::run_delayed, after_s < 0 ? 0 : after_s, 0.);
    call->timer.data = call.get();
    ev_timer_start(loop_, &call->timer);
    delayed_.emplace(id, std::move(call));
    return id;
  }
  void cancel(std::uint64_t delayed_call) {
    if (runtime_) return runtime_->stop(delayed_call);
    auto call = delayed_.extract(delayed_call);
    if (call) ev_timer_stop(loop_, &call.mapped()->timer);
  }

 private:
  struct DelayedCall {
    ev_timer timer{};
    Loop* loop = nullptr;
    std::uint64_t id = 0;
    std::function<void()> fn;
  };
  static void run_delayed(struct ev_loop*, ev_timer* timer, int) {
    auto* due = static_cast<DelayedCall*>(timer->data);
    auto call = due->loop->delayed_.extract(due->id);  // ended before it runs: it may start others
    call.mapped()->fn();
  }
  static void drain(struct ev_loop* raw, ev_idle* watcher, int) {
    ev_idle_stop(raw, watcher);
    static_cast<Loop*>(watcher->data)->run_batch();
  }
  void run_batch() {
    std::deque<Message> batch;
    batch.swap(queue_);
    for (auto& message : batch) message();
  }
  Runtime* runtime_ = nullptr;
  std::uint64_t waiting_ = 0;  // the driver's name for the turn in which the queue is emptied
  struct ev_loop* loop_ = nullptr;
  ev_idle idle_{};
  std::deque<Message> queue_;
  std::uint64_t last_delayed_ = 0;
  std::map<std::uint64_t, std::unique_ptr<DelayedCall>> delayed_;
};

class Timer {
 public:
  explicit Timer(Loop& loop) : loop_(loop) {
    ev_timer_init(&timer_, &Timer::fired, 0., 0.);
    timer_.data = this;
  }
  ~Timer() { stop(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void once(double after_s, std::function<void()> fn) { start(after_s, 0., std::move(fn)); }
  void every(double period_s, std::function<void()> fn) { start(period_s, period_s, std::move(fn)); }
  void stop() {
    if (!loop_.runtime()) return ev_timer_stop(loop_.raw(), &timer_);
    if (driven_) loop_.runtime()->stop(std::exchange(driven_, 0));
  }
  bool active() const { return loop_.runtime() ? driven_ != 0 : ev_is_active(&timer_); }

 private:
  void start(double after, double repeat, std::function<void()> fn) {
    stop();
    fn_ = std::move(fn);
    if (loop_.runtime()) return drive(after < 0 ? 0 : after, repeat);
    ev_now_update(loop_.raw());
    ev_timer_set(&timer_, after < 0 ? 0 : after, repeat);
    ev_timer_start(loop_.raw(), &timer_);
  }
  void drive(double after, double repeat) {
    driven_ = loop_.runtime()->start(after, [this, repeat] {
      driven_ = 0;
      if (repeat > 0) drive(repeat, repeat);
      auto fn = fn_;
      fn();
    });
  }
  static void fired(struct ev_loop*, ev_timer* timer, int) {
    auto fn = static_cast<Timer*>(timer->data)->fn_;  // a copy: the callback may restart or end the timer
    fn();
  }
  Loop& loop_;
  ev_timer timer_{};
  std::uint64_t driven_ = 0;
  std::function<void()> fn_;
};

class Signal {
 public:
  Signal(Loop& loop, int number, std::function<void()> fn) : loop_(loop), fn_(std::move(fn)) {
    ev_signal_init(&signal_, &Signal::caught, number);
    signal_.data = this;
    ev_signal_start(loop_.raw(), &signal_);
  }
  ~Signal() { ev_signal_stop(loop_.raw(), &signal_); }
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  static void caught(struct ev_loop*, ev_signal* signal, int) { static_cast<Signal*>(signal->data)->fn_(); }
  Loop& loop_;
  ev_signal signal_{};
  std::function<void()> fn_;
};

class Io {
 public:
  Io(Loop& loop, int fd, std::function<void(int)> fn) : loop_(loop), fn_(std::move(fn)) {
    ev_io_init(&io_, &Io::ready, fd, EV_NONE);
    io_.data = this;
  }
  ~Io() { ev_io_stop(loop_.raw(), &io_); }
  Io(const Io&) = delete;
  Io& operator=(const Io&) = delete;
  void want(int events) {
    if (events == events_) return;
    events_ = events;
    ev_io_stop(loop_.raw(), &io_);
    if (events) {
      ev_io_set(&io_, io_.fd, events);
      ev_io_start(loop_.raw(), &io_);
    }
  }

 private:
  static void ready(struct ev_loop*, ev_io* io, int events) {
    auto fn = static_cast<Io*>(io->data)->fn_;  // a copy: the callback may destroy this watcher
    fn(events);
  }
  Loop& loop_;
  ev_io io_{};
  int events_ = 0;
  std::function<void(int)> fn_;
};

/// An actor owns its state; others only leave messages, which run one at a time on the loop.
template <typename Self>
class Actor {
 public:
  explicit Actor(Loop& loop) : loop_(loop) {}
  void tell(std::function<void(Self&)> message) {
    loop_.post([this, message = std::move(message)] { message(static_cast<Self&>(*this)); });
  }

 protected:
  ~Actor() = default;
  Loop& loop_;
};

}  // namespace corkmux
