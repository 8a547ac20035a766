// The state service as the controllers see it: reads, conditioned transactions, grants and watches.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "codec.h"
#include "http.h"
#include "outage_log.h"

namespace corkmux {

/// The controller that says, in a record under kRecordFormats, that it reads the records this version writes;
/// nullopt: it does not.
std::optional<std::string> reader_of_our_format(const codec::KeyValue& record);

enum class StateStatus {
  Ok,
  Missing,     // 404
  Conflict,    // 409: a condition failed, nothing was written
  Refused,     // 429, 503, or surely not sent: nothing was written
  Unanswered,  // may have been executed, or may be later
  Invalid      // 400
};

struct StateReply {
  StateStatus status = StateStatus::Refused;
  codec::Json body;
  double sent_at = 0;
  bool ok() const { return status == StateStatus::Ok; }
};

/// How a read of all that stands under a prefix ended.
struct ReadEnd {
  StateStatus status = StateStatus::Ok;  // Ok: everything was given, else from where on it was not
  std::string last;                      // key of the last item given, to go on after; empty: none
  std::uint64_t revision = 0;            // of the first page: what changed later may be missing or in it
  bool ok() const { return status == StateStatus::Ok; }
};

class StateClient {
 public:
  using Callback = std::function<void(StateReply)>;
  StateClient(Loop& loop, const std::string& address);
  void get(const std::string& key, Callback done);
  void list(const std::string& prefix, const std::string& after, int most, Callback done);
  /// Every item under the prefix beyond the key `after`, page by page, however many the service gives at a
  /// time: a page may end at any item. `each` is called in key order.
  void read_all(const std::string& prefix, const std::string& after,
                std::function<void(codec::KeyValue&)> each, std::function<void(const ReadEnd&)> done);
  void txn(const std::vector<codec::Condition>& conditions, const std::vector<codec::Write>& writes,
           Callback done);
  /// A transaction that only compares, and may take so long, s.
  void compare(const std::vector<codec::Condition>& conditions, double timeout_s, Callback done);
  void create_lease(double life_s, Callback done);
  void renew_lease(std::uint64_t lease, Callback done);
  void revoke_lease(std::uint64_t lease, Callback done);
  void watch(const std::string& prefix, std::uint64_t after, double wait_s, Callback done);
  /// Steady time of the last answer that showed the service serving us.
  double last_contact() const { return last_contact_; }

 private:
  void send(http::Client& client, const char* method, std::string target, const codec::Json* body,
            double timeout_s, bool counts, Callback done);
  void read_page(const std::string& prefix, std::shared_ptr<ReadEnd> so_far,
                 std::function<void(codec::KeyValue&)> each, std::function<void(const ReadEnd&)> done);
  http::Client requests_, watches_, leases_;
  double last_contact_ = -1e9;
  OutageLog outage_;
};

}  // namespace corkmux
