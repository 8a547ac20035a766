// Messages between controllers that cannot reach each other, passed through the state service, which both
// reach.
//
// Zones cut off from each other leave workers that reach a controller but not the leader. Their reports go to
// the leader as mail and its answers come back the same way, so work goes on starting beyond the cut while
// one book still decides everything. Nothing rests on the mail being delivered: a lost or late answer is one
// the worker never got, which the book allows for with every answer.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "settings.h"
#include "state_client.h"

namespace corkmux {

namespace constants {
inline constexpr double kRelayWriteShare = 0.1;  // of write_rps that one outbox may take
/// s at most that messages wait for others to share a record; a worker waits 4 s in all.
inline constexpr double kRelayBatchDelay = 0.5;
inline constexpr double kStoreRelayTimeout = 3.0;         // s a request may take; its worker waits 4 s
inline constexpr double kStoreRelaySweepInterval = 0.25;  // s between looks for overdue requests
/// Records an outbox writes in turn, so that none is read overwritten.
inline constexpr int kStoreRelaySlots = 8;
/// Requests that wait for their answer; three a machine of a large zone.
inline constexpr std::size_t kStoreRelayPendingLimit = 1000;
}  // namespace constants

class StoreRelay : public Actor<StoreRelay> {
 public:
  using Reply = std::function<void(int status, std::string body)>;
  using Deliver = std::function<void(std::string body, Reply reply)>;
  /// `deliver` handles what others send us.
  StoreRelay(Loop& loop, const Settings& settings, StateClient& state, Deliver deliver);
  /// Status 0: no answer in time, or it could not be sent.
  void request(const std::string& to, const std::string& body, Reply reply);
  /// While set, mail is taken in even without requests of our own.
  void serve(bool on);

 private:
  struct Outbox {
    struct Item {
      codec::Json body;
      std::size_t bytes;  // as JSON
      double since;
    };
    std::deque<Item> items;
    std::size_t bytes = 0;
    bool writing = false;
    int slot = 0;
    double last = -1e9;
    std::unique_ptr<Timer> timer;
  };
  struct Pending {
    double deadline = 0;
    Reply reply;
  };
  void listen();
  void watch(std::uint64_t after);
  void take(const codec::Event& event);
  void send(const std::string& to, codec::Json item);
  void flush(const std::string& to);
  void write(const std::string& to);
  void sweep();
  void give_up(const codec::Json& item);
  /// The end of a request, answered or not.
  void settle(std::uint64_t id, int status, std::string body);
  bool wanted() const { return serving_ || !pending_.empty(); }

  std::string label_;
  StateClient& state_;
  Deliver deliver_;
  void learn_forms();
  std::size_t room_;
  double pause_, gather_;
  std::set<std::string> brief_;  // controllers that have said that they read the second form
  std::map<std::string, Outbox> outboxes_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t next_;
  bool serving_ = false, listening_ = false, ready_ = false;
  Timer sweeper_, retry_;
};

}  // namespace corkmux
