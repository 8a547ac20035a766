// The changes of objects, in the order of the store's revisions, for those who watch. Follows two prefixes,
// objects and ends of jobs, and sends a revision only once both have got that far. Owns the watches and the
// history that they are served from; never writes to the store.
#pragma once
#include <deque>
#include <unordered_map>

#include "objects.h"
#include "selector.h"
#include "state_client.h"
#include "store_keys.h"

namespace corkmux::kube {

class Feed : public Actor<Feed> {
 public:
  using Id = http::Server::ConnectionId;
  struct Watch {
    std::string space;  // namespace
    std::string only;   // the name that a field selector asks for; empty: any
    std::vector<Requirement> labels;
    std::uint64_t after = 0;  // revision that the watcher knows
    bool bookmarks = false;
    double until = 0;        // s of the steady clock
    std::uint64_t next = 0;  // number of the change that it is to see next, set by the feed
  };

  Feed(Loop& loop, StateClient& state, http::Server& server);
  void start();
  /// The connection's answer was begun, and ends with the watch.
  void watch(Id id, Watch watch);
  static std::string line(const char* type, const Json& object);
  /// Ends all watches.
  void close();

 private:
  struct Object {
    Stored stored;
    std::uint64_t revision = 0;
    Progress progress;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    std::optional<Json> value;
  };
  /// A change as watchers are sent it.
  struct HistoryEntry {
    std::uint64_t revision = 0;
    std::string space;
    std::string name;
    std::string line;
    std::map<std::string, std::string> labels;
  };
  struct Source {
    Source(Loop& loop, std::string prefix_of_keys) : prefix(std::move(prefix_of_keys)), pause(loop) {}
    std::string prefix;
    std::uint64_t position = 0;  // all its changes up to here have come
    int lost = 0;                // watches in a row that were not answered
    Timer pause;
  };

  void load();
  void follow(Source& source);
  /// Changes that were missed cannot be sent: watches end as expired, and all is read again.
  void start_over();
  void merge();
  void apply(const Change& change);
  void apply_end(const Change& change);
  void apply_object(const Change& change);
  void put_object(const std::string& key, Stored stored, std::uint64_t revision);
  void add_to_history(const char* type, const std::string& key, const Object& object);
  void trim_history();
  bool wants(const Watch& watch, const HistoryEntry& entry) const;
  void expire(Id id, const char* why);
  /// Sends what it has not seen, as far as it takes it. false: the watch is over.
  bool pump(Id id, Watch& watch);
  void pump_all();
  void tick();
  /// Whether the watch is over.
  bool tick_watch(Id id, const Watch& watch, double now, bool send_bookmarks);
  std::string bookmark() const;

  StateClient& state_;
  http::Server& server_;
  Timer retry_;
  Timer tick_;
  Timer pump_;
  std::uint64_t generation_ = 0;  // of the reading; answers to earlier ones are dropped
  Source objects_;
  Source ends_;
  std::map<std::string, Object> known_;                  // by key
  std::unordered_map<std::string, std::string> by_job_;  // the key of a job's object
  std::vector<Change> pending_;
  std::deque<HistoryEntry> history_;
  std::uint64_t first_ = 0;  // number of the first change in it
  std::size_t history_bytes_ = 0;
  std::uint64_t history_from_ = 0;  // revision after which the history is complete
  std::uint64_t position_ = 0;      // revision up to which all changes are in it
  bool loaded_ = false;
  std::unordered_map<Id, Watch> watches_;
  double bookmarked_at_ = 0;
};

}  // namespace corkmux::kube
