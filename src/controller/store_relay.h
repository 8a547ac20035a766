// Relays heartbeats and the leader's answers through the state store, between controllers that both reach the
// store but not each other.
//
// A network partition between zones leaves workers that reach a controller but not the leader. Their
// heartbeats go to the leader as records in the state store and its answers return the same way, so that
// tasks still start on both sides of the partition while one scheduler makes all decisions. Owns the outboxes
// and the pending requests. No guarantee depends on delivery: to the worker, a lost or late answer is the
// same as none.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "leader_reply.h"
#include "relay_record.h"
#include "settings.h"
#include "state_client.h"
#include "time_constants.h"

namespace corkmux {

namespace constants {
inline constexpr double kRelayWriteShare = 0.1;  // share of write_rps that one outbox may use
/// s that messages wait at most for others to share a record; a worker waits 4 s in all.
inline constexpr double kRelayBatchDelay = 0.5;
inline constexpr double kStoreRelayTimeout = 3.0;         // s a request may take; its worker waits 4 s
inline constexpr double kStoreRelaySweepInterval = 0.25;  // s between checks for overdue requests
/// Records that an outbox writes in turn, so that none is overwritten before it is read.
inline constexpr int kStoreRelaySlots = 8;
/// Requests that may await their answer at once: three for each machine of a large zone.
inline constexpr std::size_t kStoreRelayPendingLimit = 1000;
}  // namespace constants

class StoreRelay : public Actor<StoreRelay> {
 public:
  /// Handles a heartbeat that another controller relayed to this one.
  using DeliverCallback = std::function<void(std::string heartbeat, LeaderReplyCallback reply)>;
  StoreRelay(Loop& loop, const Settings& settings, StateClient& state, DeliverCallback deliver);

  // Messages.
  /// Relays a heartbeat to the controller `to`. The reply is LeaderReply::unanswered() if no answer comes in
  /// time or the heartbeat cannot be sent.
  void request(const std::string& to, const std::string& heartbeat, LeaderReplyCallback reply);
  /// While set, requests of other controllers are received and delivered, also when this controller has no
  /// pending requests. Set on the leader.
  void accept_requests(bool accept);

 private:
  /// Items that wait to be written to one controller.
  struct Outbox {
    struct Entry {
      RelayItem item;
      double queued_at;  // when it was queued, s of the steady clock
    };
    std::deque<Entry> entries;
    std::size_t bytes = 0;  // of the items in entries
    bool writing = false;
    int slot = 0;
    double written_at = kLongAgo;
    std::unique_ptr<Timer> timer;
  };
  struct PendingRequest {
    double deadline = 0;  // s of the steady clock
    LeaderReplyCallback reply;
  };
  bool should_watch() const { return accepting_ || !pending_.empty(); }
  void start_watching();
  void find_compact_readers();
  void start_watching_failed();
  void watch(std::uint64_t after);
  void receive(const codec::Event& event);
  void receive_request(const std::string& from, const RelayedRequest& request);

  void send(const std::string& to, RelayItem item);
  void flush(const std::string& to);
  void write(const std::string& to);
  std::vector<RelayItem> next_record(Outbox& outbox) const;
  void written(const std::string& to, const std::vector<RelayItem>& items, const StateReply& reply);
  void give_up(const RelayItem& item);
  /// Ends a request with its answer or as unanswered.
  void finish(std::uint64_t request, LeaderReply reply);
  void give_up_overdue();

  std::string label_;
  StateClient& state_;
  DeliverCallback deliver_;
  std::size_t record_size_;                 // bytes of items in one record
  double write_interval_;                   // s between records of an outbox that is full
  double batch_delay_;                      // s between records of an outbox that is not full
  std::set<std::string> compact_readers_;   // labels of controllers that declare that they read it
  std::map<std::string, Outbox> outboxes_;  // by receiver
  std::map<std::uint64_t, PendingRequest> pending_;
  std::uint64_t last_request_;
  bool accepting_ = false;
  bool watching_ = false;
  bool ready_ = false;  // the revision to watch from is known: no answer to items sent now is missed
  Timer sweep_timer_;
  Timer retry_timer_;
};

}  // namespace corkmux
