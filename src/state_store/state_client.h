// Client of the state store, a consensus-backed key-value store that the platform provides ("the state
// service" in logs): reads, conditioned transactions, leases and watches.
//
// Owns the connections and the log of outages. It never retries, and leaves the handling of unanswered
// requests to the caller. Used on the loop's thread; each callback runs once, in a later turn of the loop.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "codec.h"
#include "http.h"
#include "outage_log.h"
#include "record_format_declaration.h"
#include "time_constants.h"

namespace corkmux {

namespace constants {
inline constexpr double kLeaderLeaseRenewInterval = 0.75;  // s; three attempts within one lease duration
inline constexpr double kStateTimeout = 2.0;               // s
inline constexpr double kReadTimeout = 1.5;           // s; less than the 2 s that a user waits for a query
inline constexpr double kWatchWait = 20.0;            // s that a watch waits for a change
inline constexpr double kWatchSlack = 5.0;            // s beyond the wait before a watch counts as lost
inline constexpr int kLostWatchLimit = 3;             // in a row: their answers may be too large to receive
inline constexpr int kStateConnections = 6;           // sockets
inline constexpr int kWatchConnections = 6;           // sockets
inline constexpr int kListPage = 100;                 // items a page
inline constexpr int kMaxConcurrentOutcomeReads = 4;  // outcomes of dependencies read at the same time
inline constexpr double kJobReadMaxAge = 2.0;         // s for which a read of a job counts as current
}  // namespace constants

/// The id of a lease of the state store. Keys bound to the lease are removed when it ends.
using LeaseId = std::uint64_t;

/// The outcome of a request to the state store.
enum class StateStatus {
  Ok,
  Missing,     // no such key or lease; of a watch: the revision is too old
  Conflict,    // a condition failed; nothing was written
  Refused,     // over its rate limit, unavailable, or certainly not sent; nothing was written
  Unanswered,  // the request may have been executed, or may be executed later
  Invalid      // malformed or too large
};

/// The answer to one request.
struct StateReply {
  StateStatus status = StateStatus::Refused;
  codec::Json body;
  double sent_at = 0;  // s of the steady clock
  bool ok() const { return status == StateStatus::Ok; }
};

/// The end of a read of all items under a prefix.
struct ReadEnd {
  StateStatus status = StateStatus::Ok;  // Ok: all items were returned; otherwise of the failed page
  std::string last;                      // key of the last item returned, to continue after; empty: none
  std::uint64_t revision = 0;            // of the first page: later changes may or may not be included
  bool ok() const { return status == StateStatus::Ok; }
};

class StateClient {
 public:
  using ReplyCallback = std::function<void(StateReply)>;
  using ItemCallback = std::function<void(codec::KeyValue&)>;
  using ReadEndCallback = std::function<void(const ReadEnd&)>;

  StateClient(Loop& loop, const std::string& address);

  /// Reads one key's value.
  void get(const std::string& key, ReplyCallback done);
  /// Reads one page of the items under the prefix whose keys follow `after`.
  void list(const std::string& prefix, const std::string& after, int most, ReplyCallback done);
  /// Reads all items under the prefix whose keys follow `after`, page by page. The store may end a page at
  /// any item. `each` is called in key order.
  void read_all(const std::string& prefix, const std::string& after, ItemCallback each, ReadEndCallback done);
  /// Writes everything if all keys have the revisions of the conditions, otherwise nothing.
  void transaction(const std::vector<codec::Condition>& conditions, const std::vector<codec::Write>& writes,
                   ReplyCallback done);
  /// A transaction that only compares revisions, with its own timeout.
  void compare(const std::vector<codec::Condition>& conditions, double timeout_s, ReplyCallback done);
  /// Creates a lease that expires unless it is renewed within its duration.
  void create_lease(double duration_s, ReplyCallback done);
  void renew_lease(LeaseId lease, ReplyCallback done);
  void revoke_lease(LeaseId lease, ReplyCallback done);
  /// Waits for changes under the prefix after the revision.
  void watch(const std::string& prefix, std::uint64_t after, double wait_s, ReplyCallback done);

  /// When the last request was sent whose answer showed that the store serves this controller; s of the
  /// steady clock.
  double last_contact() const { return last_contact_; }

 private:
  struct Request {
    const char* method = "GET";
    std::string target;
    std::string body = {};
    double timeout_s = constants::kStateTimeout;
    bool shows_contact = true;  // whether an answer counts for last_contact()
  };
  void send(http::Client& client, Request request, ReplyCallback done);
  void read_page(const std::string& prefix, std::shared_ptr<ReadEnd> so_far, ItemCallback each,
                 ReadEndCallback done);
  void page_read(const std::string& prefix, std::shared_ptr<ReadEnd> so_far, ItemCallback each,
                 ReadEndCallback done, const StateReply& reply);

  http::Client requests_;
  http::Client watches_;
  http::Client leases_;
  double last_contact_ = kLongAgo;
  OutageLog outage_;
};

}  // namespace corkmux
