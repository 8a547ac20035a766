// The event loop of a program or of one simulated host: a queue of messages and delayed calls. Owns a libev
// loop, or runs on a Runtime. Single-threaded; never runs a message inside the call that posts it.
#pragma once
#include <ev.h>

#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "runtime.h"

namespace corkmux {

class Loop {
 public:
  using Message = std::function<void()>;
  using ExceptionHandler = std::function<void(const std::exception&)>;
  /// A loop on libev; run() drives it.
  Loop() : loop_(ev_loop_new(EVFLAG_AUTO)) {
    ev_idle_init(&idle_, &Loop::on_idle);
    idle_.data = this;
  }
  /// A loop on a simulated host, driven by the runtime; IoWatcher and SignalWatcher are not available.
  explicit Loop(Runtime& runtime) : runtime_(&runtime) {}
  ~Loop() {
    queue_.clear();  // queued messages may own watchers, which need the loop
    for (auto& [id, call] : delayed_) ev_timer_stop(loop_, &call->timer);
    if (runtime_)
      runtime_->stop(pending_turn_);
    else
      ev_loop_destroy(loop_);
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Null on libev.
  Runtime* runtime() { return runtime_; }

  /// The libev loop, for the watchers.
  struct ev_loop* raw() {
    return loop_;
  }
  /// Sets what is called with an exception that leaves a callback of this loop, its timers or watchers; the
  /// loop then goes on with the next callback. Without a handler such an exception leaves run().
  void on_exception(ExceptionHandler handler) { exception_handler_ = std::move(handler); }
  /// Runs a callback, with its exceptions passed to that handler.
  template <typename Callback, typename... Args>
  void run_guarded(const Callback& callback, Args... args) {
    if (!exception_handler_) return callback(args...);
    try {
      callback(args...);
    } catch (const std::exception& error) {
      exception_handler_(error);
    }
  }

  void run() { ev_run(loop_, 0); }
  void run_once() { ev_run(loop_, EVRUN_ONCE); }
  void stop() { ev_break(loop_, EVBREAK_ALL); }

  /// Queues a message; it runs in a later turn of the loop.
  void post(Message message) {
    if (queue_.empty()) schedule_turn();
    queue_.push_back(std::move(message));
  }

  /// Runs `callback` once, `after_s` seconds from now. Returns its id for cancel(), never 0.
  std::uint64_t call_later(double after_s, std::function<void()> callback) {
    if (runtime_) return runtime_->start(after_s, std::move(callback));
    auto id = ++last_delayed_;
    auto call = std::make_unique<DelayedCall>();
    call->loop = this;
    call->id = id;
    call->callback = std::move(callback);
    ev_now_update(loop_);
    ev_timer_init(&call->timer, &Loop::on_delayed, after_s < 0 ? 0 : after_s, 0.);
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
    std::function<void()> callback;
  };
  static void on_delayed(struct ev_loop*, ev_timer* timer, int) {
    auto* due = static_cast<DelayedCall*>(timer->data);
    // Removed before it runs, since the callback may add delayed calls.
    auto call = due->loop->delayed_.extract(due->id);
    due->loop->run_guarded(call.mapped()->callback);
  }
  static void on_idle(struct ev_loop* raw, ev_idle* watcher, int) {
    ev_idle_stop(raw, watcher);
    static_cast<Loop*>(watcher->data)->run_batch();
  }
  void schedule_turn() {
    if (runtime_)
      pending_turn_ = runtime_->start(0, [this] { run_batch(); });
    else
      ev_idle_start(loop_, &idle_);
  }
  void run_batch() {
    std::deque<Message> batch;
    batch.swap(queue_);
    for (auto& message : batch) run_guarded(message);
  }

  Runtime* runtime_ = nullptr;
  std::uint64_t pending_turn_ = 0;  // the runtime's timer for the turn that empties the queue
  struct ev_loop* loop_ = nullptr;
  ev_idle idle_{};
  std::deque<Message> queue_;
  ExceptionHandler exception_handler_;
  std::uint64_t last_delayed_ = 0;
  std::map<std::uint64_t, std::unique_ptr<DelayedCall>> delayed_;
};

}  // namespace corkmux
