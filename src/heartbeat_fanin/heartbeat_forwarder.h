// The serving side of batches: gathers what workers report, passes it to the leader in few messages, and
// gives each worker the leader's answer to its own report. It never answers for the leader: without the
// leader's answer a worker's lease is not renewed.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "fanin_messages.h"
#include "http.h"
#include "model.h"

namespace corkmux::fanin {

class HeartbeatForwarder : public Actor<HeartbeatForwarder> {
 public:
  /// Status 0: the leader may have the report, and its answer was not heard.
  using Reply = std::function<void(int status, std::string body)>;
  /// Sends a batch to a controller.
  using Post =
      std::function<void(const std::string& label, std::string body, std::function<void(http::Result)> done)>;
  HeartbeatForwarder(Loop& loop, std::string own_label, Post post);
  /// Empty: none is known; reports wait for the next one, for as long as their workers do.
  void leader_changed(const std::string& label);
  void forward(const Heartbeat& heartbeat, std::string body, Reply reply);
  /// Goes with the next batch.
  void add_outcome(CommandOutcome outcome);

 private:
  struct Waiting {
    Heartbeat heartbeat;
    std::string body;
    Reply reply;
    double since = 0;   // s of the steady clock: when it came
    bool whole = true;  // the leader does not know what it says yet
  };
  /// The last report of a worker that the leader has answered whole.
  struct Confirmed {
    Heartbeat heartbeat;
    double at = 0;
  };
  using Sent = std::map<std::uint64_t, Waiting>;
  bool unchanged(const Heartbeat& heartbeat) const;
  void schedule(double after_s);
  void flush();
  HeartbeatBatch next_batch(Sent& sent);
  void send();
  void answered(const std::string& leader, Sent sent, const http::Result& result);
  void take_answers(Sent sent, const std::vector<HeartbeatAnswer>& answers);
  /// What has not reached the leader waits for another try, while there is time for one.
  void try_again(Sent sent);
  void confirm(const Heartbeat& heartbeat);
  void give_up_overdue();
  std::string own_label_, leader_;
  Post post_;
  std::deque<Waiting> waiting_;
  std::deque<CommandOutcome> outcomes_;
  std::size_t waiting_bytes_ = 0;
  std::unordered_map<std::string, Confirmed> confirmed_;
  std::uint64_t next_id_ = 1;
  int in_flight_ = 0;
  double flush_at_ = 0;
  Timer flush_timer_, overdue_timer_;
};

}  // namespace corkmux::fanin
