// Forwards heartbeats from a fan-in member to the leader: collects the heartbeats of its workers, sends them
// to the leader in few messages, and gives each worker the leader's answer to its own heartbeat. Owns the
// heartbeats that wait and, for deltas, the last heartbeat of each worker that the leader has answered. Never
// answers for the leader: without its answer a worker's lease is not renewed.
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
inline constexpr int kMaxBatchesInFlight = 2;      // to the leader; one more than it needs to stay busy
inline constexpr std::size_t kMaxForwardBytes = 4 << 20;  // of all heartbeats that wait for the leader
inline constexpr double kForwardTimeout = 2.5;  // s that a heartbeat waits for a leader; its worker waits 4 s
inline constexpr double kOverdueCheckInterval = 0.25;  // s between checks for overdue heartbeats
inline constexpr double kConfirmedRetention = 120;     // s that a heartbeat which the leader answered is kept
}  // namespace constants

namespace fanin {

class HeartbeatForwarder : public Actor<HeartbeatForwarder> {
 public:
  using PostCallback = std::function<void(http::Result)>;
  /// Sends a batch to a controller.
  using Post = std::function<void(const std::string& label, std::string body, PostCallback done)>;
  HeartbeatForwarder(Loop& loop, std::string own_label, Post post);

  // Messages.
  /// Empty: no leader is known; heartbeats wait for the next one, as long as their workers can wait.
  void leader_changed(const std::string& label);
  /// `body`: the heartbeat as the worker sent it.
  void forward(const Heartbeat& heartbeat, std::string body, LeaderReplyCallback reply);
  /// Adds an outcome to the next batch.
  void add_outcome(CommandOutcome outcome);

 private:
  struct PendingHeartbeat {
    Heartbeat heartbeat;
    std::string body;
    LeaderReplyCallback reply;
    double arrived_at = 0;   // s of the steady clock
    bool needs_full = true;  // the leader cannot complete a delta of it
  };
  /// The last full heartbeat of a worker that the leader has answered.
  struct Confirmed {
    Heartbeat heartbeat;
    double at = 0;  // s of the steady clock
  };
  using SentHeartbeats = std::map<std::uint64_t, PendingHeartbeat>;  // by the id of its entry in the batch
  /// Whether it equals the last heartbeat of its worker that the leader has answered, in all but its sequence
  /// number.
  bool repeats_confirmed(const Heartbeat& heartbeat) const;
  bool nothing_pending() const { return waiting_.empty() && outcomes_.empty(); }
  void schedule(double after_s);
  void flush();
  /// The oldest entries that wait, as many as one message may carry.
  HeartbeatBatch next_batch(SentHeartbeats& sent);
  void add_outcomes(HeartbeatBatch& batch, std::size_t& bytes);
  ForwardedHeartbeat next_entry(const PendingHeartbeat& waiting) const;
  void send();
  void answered(const std::string& leader, SentHeartbeats sent, const http::Result& result);
  void deliver_answers(SentHeartbeats sent, const std::vector<HeartbeatAnswer>& answers);
  void deliver_answer(PendingHeartbeat waiting, const HeartbeatAnswer& answer);
  /// Queues heartbeats that have not reached the leader for a retry, while there is time for one.
  void retry(SentHeartbeats sent);
  void put_back(PendingHeartbeat waiting);
  void confirm(const Heartbeat& heartbeat);
  /// Refuses heartbeats that no leader took in time, so that their workers try another controller before they
  /// time out.
  void refuse_overdue();

  std::string own_label_;
  std::string leader_;
  Post post_;
  std::deque<PendingHeartbeat> waiting_;  // oldest first
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
