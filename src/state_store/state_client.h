// The client of the state store, a consensus-backed key-value store that the platform provides ("the state
// service" in logs): reads, conditioned transactions, leases and watches.
//
// Owns the connections and what is logged of outages. It never retries, and never decides what an unanswered
// request means. Used on the loop's thread; each callback runs once, in a later turn.
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
inline constexpr double kLeaderLeaseRenewInterval = 0.75;  // s; three tries within one lease duration
inline constexpr double kStateTimeout = 2.0;               // s
inline constexpr double kReadTimeout = 1.5;                // s; below the 2 s a user waits for a query
inline constexpr double kWatchWait = 20.0;                 // s that a watch waits for a change
inline constexpr double kWatchSlack = 5.0;                 // s beyond the wait before a watch counts as lost
inline constexpr int kLostWatchLimit = 3;    // in a row: what they hold may be too large to take
inline constexpr int kStateConnections = 6;  // sockets
inline constexpr int kWatchConnections = 6;  // sockets
inline constexpr int kListPage = 100;        // items a page
inline constexpr int kOutcomeReads = 4;      // ends of dependencies read at the same time
inline constexpr double kKnownJob = 2.0;     // s for which what was read of a job is trusted
}  // namespace constants

/// The id of a lease of the state store: keys bound to it are removed when it ends.
using LeaseId = std::uint64_t;

/// How a request to the state store ended.
enum class StateStatus {
  Ok,
  Missing,     // no such key or lease; of a watch: the revision is too old
  Conflict,    // a condition failed, nothing was written
  Refused,     // over its rate, out of order or surely not sent: nothing was written
  Unanswered,  // may have been executed, or may be later
  Invalid      // malformed or too large
};

/// The answer to one request.
struct StateReply {
  StateStatus status = StateStatus::Refused;
  codec::Json body;
  double sent_at = 0;  // s of the steady clock
  bool ok() const { return status == StateStatus::Ok; }
};

/// How a read of all that is stored under a prefix ended.
struct ReadEnd {
  StateStatus status = StateStatus::Ok;  // Ok: everything was given, else from where on it was not
  std::string last;                      // key of the last item given, to go on after; empty: none
  std::uint64_t revision = 0;            // of the first page: what changed later may be missing or in it
  bool ok() const { return status == StateStatus::Ok; }
};

class StateClient {
 public:
  using ReplyCallback = std::function<void(StateReply)>;
  using ItemCallback = std::function<void(codec::KeyValue&)>;
  using ReadEndCallback = std::function<void(const ReadEnd&)>;

  StateClient(Loop& loop, const std::string& address);

  /// One key's value.
  void get(const std::string& key, ReplyCallback done);
  /// One page of what is stored under the prefix beyond the key `after`.
  void list(const std::string& prefix, const std::string& after, int most, ReplyCallback done);
  /// Every item under the prefix beyond the key `after`, page by page, however many the store gives at a
  /// time: a page may end at any item. `each` is called in key order.
  void read_all(const std::string& prefix, const std::string& after, ItemCallback each, ReadEndCallback done);
  /// Writes everything if all keys have the revisions of the conditions, otherwise nothing.
  void transaction(const std::vector<codec::Condition>& conditions, const std::vector<codec::Write>& writes,
                   ReplyCallback done);
  /// The former name of transaction().
  void txn(const std::vector<codec::Condition>& conditions, const std::vector<codec::Write>& writes,
           ReplyCallback done) {
    transaction(conditions, writes, std::move(done));
  }
  /// A transaction that only compares revisions, and may take so long, s.
  void compare(const std::vector<codec::Condition>& conditions, double timeout_s, ReplyCallback done);
  /// Creates a lease that ends unless it is renewed within its duration.
  void create_lease(double duration_s, ReplyCallback done);
  void renew_lease(LeaseId lease, ReplyCallback done);
  void revoke_lease(LeaseId lease, ReplyCallback done);
  /// Waits for changes under the prefix after the revision.
  void watch(const std::string& prefix, std::uint64_t after, double wait_s, ReplyCallback done);

  /// s of the steady clock: when the last request was sent whose answer showed that the store serves us.
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
