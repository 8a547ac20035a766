// The watch cache: keeps the changes of objects, in the order of the state store's revisions, and sends them
// to the watches of clients.
//
// Watches two prefixes of the state store, objects and job outcomes, and sends a revision only once both
// watches have reached it. Owns the watches of clients and the history from which they are served. Never
// writes to the state store.
#pragma once
#include <deque>
#include <unordered_map>

#include "object_filter.h"
#include "object_keys.h"
#include "objects.h"
#include "state_client.h"

namespace corkmux::kube {

inline constexpr double kStoreWatchWait = 0.5;            // s; bounds the delay of a change to a watch
inline constexpr std::size_t kHistoryChanges = 2000;      // kept for watches that are resumed
inline constexpr std::size_t kHistoryBytes = 4 << 20;     // total size of these changes
inline constexpr std::size_t kMaxUnsentBytes = 64 << 10;  // per connection; the rest waits in the history
inline constexpr double kSendInterval = 0.02;    // s until more is sent to clients with too many unsent bytes
inline constexpr double kBookmarkInterval = 15;  // s
inline constexpr double kLoadRetryDelay = 1;     // s
inline constexpr double kTickInterval = 1;       // s

/// Serves the watches of clients from one history of changes. Runs on the event loop's thread; the state
/// client and the HTTP server must outlive it.
class WatchCache : public Actor<WatchCache> {
 public:
  using Id = http::Server::ConnectionId;
  /// The parameters of a client's watch.
  struct WatchRequest {
    ObjectFilter filter;
    std::uint64_t after = 0;  // revision up to which the client has all changes
    bool bookmarks = false;
    double until = 0;  // end of the watch, s of the steady clock
  };

  WatchCache(Loop& loop, StateClient& state, http::Server& server);
  void start();
  /// Serves a watch on a connection on which the response was begun. The response ends with the watch.
  void watch(Id id, WatchRequest request);
  /// Returns an event as sent to clients: one line of JSON.
  static std::string event_line(const char* type, const Json& object);
  /// Ends all watches.
  void close();

 private:
  struct Watch {
    WatchRequest request;
    std::uint64_t next_change = 0;  // number of the next change to send
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
  /// A change in the form sent to clients.
  struct HistoryEntry {
    std::uint64_t revision = 0;
    ObjectId id;
    std::string line;
    std::map<std::string, std::string> labels;
  };
  /// The cache's watch of one prefix of the state store.
  struct StoreWatch {
    StoreWatch(Loop& loop, std::string prefix_of_keys) : prefix(std::move(prefix_of_keys)), retry(loop) {}
    std::string prefix;
    std::uint64_t position = 0;  // revision up to which all changes were received
    int unanswered = 0;          // consecutive unanswered requests
    Timer retry;
  };

  void load();
  void on_loaded(const ReadEnd& end);
  void follow(StoreWatch& source);
  void on_events(StoreWatch& source, const StateReply& reply);
  void on_watch_failed(StoreWatch& source, StateStatus status);
  /// Ends all watches as expired and loads all objects again. Used after changes were missed, as these can no
  /// longer be sent.
  void reload();
  /// Applies the pending changes up to the revision that both store watches have reached.
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
  enum class WatchState { Open, Closed };
  /// Sends unsent changes until the watch is up to date or its connection has too many unsent bytes.
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
  std::uint64_t generation_ = 0;  // of the load; responses to earlier ones are dropped
  StoreWatch objects_;
  StoreWatch outcomes_;
  std::map<std::string, Object> objects_by_key_;
  std::unordered_map<std::string, std::string> key_by_job_;
  std::vector<Change> pending_;  // after the revision that both store watches have reached
  std::deque<HistoryEntry> history_;
  std::uint64_t first_change_ = 0;  // number of the first change in the history
  std::size_t history_bytes_ = 0;
  std::uint64_t history_from_ = 0;  // revision after which the history is complete
  std::uint64_t position_ = 0;      // revision up to which the history is complete
  bool loaded_ = false;
  std::unordered_map<Id, Watch> watches_;
  double bookmarked_at_ = kLongAgo;
};

}  // namespace corkmux::kube
