// A fan-in member's side of heartbeat batches: collects heartbeats of its workers, passes them to the leader
// in few messages, and gives each worker the leader's answer to its own. Owns the heartbeats that wait and,
// for deltas, the last heartbeat of each worker that the leader has answered. Never answers for the leader:
// without its answer a worker's lease is not renewed.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "fanin_messages.h"
#include "http.h"
#include "leader_reply.h"
#include "model.h"

namespace corkmux {

namespace constants {
inline constexpr double kChangeBatchDelay = 0.01;  // s that full heartbeats and outcomes wait for others
inline constexpr double kDeltaBatchDelay = 0.15;   // s for deltas; their workers wait 4 s
inline constexpr int kBatchesInFlight = 2;         // to the leader; one more than it needs to be kept busy
inline constexpr std::size_t kForwardBytes = 4 << 20;  // of heartbeats that wait for the leader, all together
inline constexpr double kForwardTime = 2.5;  // s a heartbeat waits for a leader that takes it; its worker 4 s
inline constexpr double kForwardSweep = 0.25;  // s between looks for overdue heartbeats
inline constexpr double kConfirmedTime = 120;  // s a heartbeat that the leader answered is remembered
}  // namespace constants

namespace fanin {

class HeartbeatForwarder : public Actor<HeartbeatForwarder> {
 public:
  using PostCallback = std::function<void(http::Result)>;
  /// Sends a batch to a controller.
  using Post = std::function<void(const std::string& label, std::string body, PostCallback done)>;
  HeartbeatForwarder(Loop& loop, std::string own_label, Post post);

  // Messages.
  /// Empty: none is known; heartbeats wait for the next one, for as long as their workers do.
  void leader_changed(const std::string& label);
  /// `body`: the heartbeat as the worker sent it.
  void forward(const Heartbeat& heartbeat, std::string body, LeaderReplyCallback reply);
  /// Goes with the next batch.
  void add_outcome(CommandOutcome outcome);

 private:
  struct Waiting {
    Heartbeat heartbeat;
    std::string body;
    LeaderReplyCallback reply;
    double since = 0;        // s of the steady clock: when it came
    bool needs_full = true;  // the leader cannot complete a delta of it
  };
  /// The last full heartbeat of a worker that the leader has answered.
  struct Confirmed {
    Heartbeat heartbeat;
    double at = 0;  // s of the steady clock
  };
  using Sent = std::map<std::uint64_t, Waiting>;  // by the id of its entry in the batch
  /// Whether it says what the leader has answered before, but for its number.
  bool repeats_confirmed(const Heartbeat& heartbeat) const;
  bool nothing_waits() const { return waiting_.empty() && outcomes_.empty(); }
  void schedule(double after_s);
  void flush();
  /// As much as one message may carry, the oldest first.
  HeartbeatBatch next_batch(Sent& sent);
  void add_outcomes(HeartbeatBatch& batch, std::size_t& bytes);
  ForwardedHeartbeat next_entry(const Waiting& waiting) const;
  void send();
  void answered(const std::string& leader, Sent sent, const http::Result& result);
  void take_answers(Sent sent, const std::vector<HeartbeatAnswer>& answers);
  void take_answer(Waiting waiting, const HeartbeatAnswer& answer);
  /// What has not reached the leader waits for another try, while there is time for one.
  void try_again(Sent sent);
  void put_back(Waiting waiting);
  void confirm(const Heartbeat& heartbeat);
  /// Workers whose heartbeats no leader took in time are sent elsewhere, before they give up by themselves.
  void give_up_overdue();

  std::string own_label_;
  std::string leader_;
  Post post_;
  std::deque<Waiting> waiting_;  // oldest first
  std::size_t waiting_bytes_ = 0;
  std::deque<CommandOutcome> outcomes_;
  std::unordered_map<std::string, Confirmed> confirmed_;  // by machine
  std::uint64_t next_id_ = 1;
  int in_flight_ = 0;
  double flush_at_ = 0;  // s of the steady clock, while the timer is active
  Timer flush_timer_;
  Timer overdue_timer_;
};

}  // namespace fanin
}  // namespace corkmux
