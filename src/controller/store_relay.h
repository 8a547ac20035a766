// Passes heartbeats and the leader's answers between controllers that cannot reach each other through the
// state service, which both reach.
//
// Zones cut off from each other leave workers that reach a controller but not the leader. Their heartbeats go
// to the leader as records in the state store and its answers come back the same way, so work goes on
// starting beyond the cut while one scheduler still decides everything. Owns the outboxes and the requests
// that wait. Nothing rests on a message being delivered: a lost or late answer is one the worker never got.
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
inline constexpr double kRelayWriteShare = 0.1;  // of write_rps that one outbox may take
/// s at most that messages wait for others to share a record; a worker waits 4 s in all.
inline constexpr double kRelayBatchDelay = 0.5;
inline constexpr double kStoreRelayTimeout = 3.0;         // s a request may take; its worker waits 4 s
inline constexpr double kStoreRelaySweepInterval = 0.25;  // s between looks for overdue requests
/// Records an outbox writes in turn, so that none is overwritten before it is read.
inline constexpr int kStoreRelaySlots = 8;
/// Requests that wait for their answer; three a machine of a large zone.
inline constexpr std::size_t kStoreRelayPendingLimit = 1000;
}  // namespace constants

class StoreRelay : public Actor<StoreRelay> {
 public:
  /// Handles a heartbeat that another controller sent us.
  using DeliverCallback = std::function<void(std::string heartbeat, LeaderReplyCallback reply)>;
  StoreRelay(Loop& loop, const Settings& settings, StateClient& state, DeliverCallback deliver);

  // Messages.
  /// Unanswered: no answer in time, or it could not be sent.
  void request(const std::string& to, const std::string& heartbeat, LeaderReplyCallback reply);
  /// While set, requests of others are taken in even without requests of our own.
  void accept_requests(bool accept);

 private:
  /// What waits to be written to one controller.
  struct Outbox {
    struct Entry {
      RelayItem item;
      double since;  // s of the steady clock
    };
    std::deque<Entry> entries;
    std::size_t bytes = 0;  // of all entries
    bool writing = false;
    int slot = 0;
    double written_at = kLongAgo;
    std::unique_ptr<Timer> timer;
  };
  struct PendingRequest {
    double deadline = 0;  // s of the steady clock
    LeaderReplyCallback reply;
  };
  bool wanted() const { return accepting_ || !pending_.empty(); }
  void listen();
  void learn_forms();
  void listening_failed();
  void watch(std::uint64_t after);
  void receive(const codec::Event& event);
  void receive_request(const std::string& from, const RelayedRequest& request);

  void send(const std::string& to, RelayItem item);
  void flush(const std::string& to);
  void write(const std::string& to);
  std::vector<RelayItem> next_record(Outbox& outbox) const;
  void written(const std::string& to, const std::vector<RelayItem>& items, const StateReply& reply);
  void give_up(const RelayItem& item);
  /// The end of a request, answered or not.
  void finish(std::uint64_t request, LeaderReply reply);
  void give_up_overdue();

  std::string label_;
  StateClient& state_;
  DeliverCallback deliver_;
  std::size_t record_size_;                 // bytes of items in one record
  double write_interval_;                   // s between records of an outbox that is full
  double batch_delay_;                      // s between records of one that is not
  std::set<std::string> compact_readers_;   // controllers that have said that they read the compact form
  std::map<std::string, Outbox> outboxes_;  // by receiver
  std::map<std::uint64_t, PendingRequest> pending_;
  std::uint64_t last_request_;
  bool accepting_ = false;
  bool listening_ = false;
  bool ready_ = false;  // listening has begun: no answer to what is sent now is missed
  Timer sweep_timer_;
  Timer retry_timer_;
};

}  // namespace corkmux
