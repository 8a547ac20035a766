// The watch cache: the changes of objects in the order of the store's revisions, for those who watch.
//
// Follows two prefixes, objects and ends of jobs, and sends a revision only once both have got that far. Owns
// the watches of clients and the history that they are served from; never writes to the store.
#pragma once
#include <deque>
#include <unordered_map>

#include "object_filter.h"
#include "object_keys.h"
#include "objects.h"
#include "state_client.h"

namespace corkmux::kube {

inline constexpr double kStoreWatchWait = 0.5;            // s; a watch hears of a change at most so much late
inline constexpr std::size_t kHistoryChanges = 2000;      // kept for watches that are taken up again
inline constexpr std::size_t kHistoryBytes = 4 << 20;     // of them together
inline constexpr std::size_t kMaxUnsentBytes = 64 << 10;  // on the way to one client; the rest waits here
inline constexpr double kSendInterval = 0.02;             // s until clients that were behind are sent more
inline constexpr double kBookmarkInterval = 15;           // s
inline constexpr double kLoadRetryPause = 1;              // s
inline constexpr double kTickInterval = 1;                // s

class WatchCache : public Actor<WatchCache> {
 public:
  using Id = http::Server::ConnectionId;
  /// What a client asks for.
  struct WatchRequest {
    ObjectFilter filter;
    std::uint64_t after = 0;  // revision that the client knows
    bool bookmarks = false;
    double until = 0;  // s of the steady clock
  };

  WatchCache(Loop& loop, StateClient& state, http::Server& server);
  void start();
  /// Serves a watch on a connection whose answer was begun; the answer ends with the watch.
  void watch(Id id, WatchRequest request);
  /// An event as it is sent to clients.
  static std::string event_line(const char* type, const Json& object);
  /// Ends all watches.
  void close();

 private:
  struct Watch {
    WatchRequest request;
    std::uint64_t next_change = 0;  // number of the change that it is to see next
  };
  struct Object {
    StoredObject stored;
    std::uint64_t revision = 0;
    Progress progress;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    std::optional<Json> value;
  };
  /// A change as clients are sent it.
  struct HistoryEntry {
    std::uint64_t revision = 0;
    ObjectId id;
    std::string line;
    std::map<std::string, std::string> labels;
  };
  /// A prefix of the store that is followed.
  struct StoreWatch {
    StoreWatch(Loop& loop, std::string prefix_of_keys) : prefix(std::move(prefix_of_keys)), retry(loop) {}
    std::string prefix;
    std::uint64_t position = 0;  // all its changes up to here have come
    int unanswered = 0;          // requests in a row
    Timer retry;
  };

  void load();
  void on_loaded(const ReadEnd& end);
  void follow(StoreWatch& source);
  void on_events(StoreWatch& source, const StateReply& reply);
  void on_watch_failed(StoreWatch& source, StateStatus status);
  /// Changes that were missed cannot be sent: watches end as expired, and all is read again.
  void start_over();
  /// Applies the changes up to the revision that both prefixes have reached.
  void apply_pending();
  void apply(const Change& change);
  void apply_outcome_change(const Change& change);
  void apply_object_change(const Change& change);
  void put_object(const std::string& key, StoredObject stored, std::uint64_t revision);
  void add_to_history(const char* type, const std::string& key, const Object& object);
  void trim_history();
  static bool selects(const WatchRequest& request, const HistoryEntry& entry);
  /// Ends the watch with an error that tells the client to list again.
  void expire(Id id, const char* why);
  enum class WatchState { Open, Over };
  /// Sends what the watch has not seen, as far as its connection takes it.
  WatchState send_changes(Id id, Watch& watch);
  void send_changes_to_all();
  void tick();
  WatchState tick_watch(Id id, const Watch& watch, double now, bool send_bookmarks);
  std::string bookmark() const;
  std::uint64_t next_change_number() const { return first_change_ + history_.size(); }

  StateClient& state_;
  http::Server& server_;
  Timer retry_;
  Timer tick_;
  Timer send_;
  std::uint64_t generation_ = 0;  // of the reading; answers to earlier ones are dropped
  StoreWatch objects_;
  StoreWatch outcomes_;
  std::map<std::string, Object> objects_by_key_;
  std::unordered_map<std::string, std::string> key_by_job_;
  std::vector<Change> pending_;  // beyond the revision that both prefixes have reached
  std::deque<HistoryEntry> history_;
  std::uint64_t first_change_ = 0;  // number of the first change in the history
  std::size_t history_bytes_ = 0;
  std::uint64_t history_from_ = 0;  // revision after which the history is complete
  std::uint64_t position_ = 0;      // revision up to which all changes are in it
  bool loaded_ = false;
  std::unordered_map<Id, Watch> watches_;
  double bookmarked_at_ = kLongAgo;
};

}  // namespace corkmux::kube
