// The state service as the controllers see it: reads, conditioned transactions, grants and watches.
#pragma once
#include <functional>
#include <set>
#include <string>

#include "codec.h"
#include "http.h"

namespace corkmux {

/// The controllers that say, on a page of kForms, that they read the records this version writes.
std::set<std::string> readers_of_our_form(const codec::Json& page);

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

class StateClient {
 public:
  using Callback = std::function<void(StateReply)>;
  StateClient(Loop& loop, const std::string& address);
  void get(const std::string& key, Callback done);
  void list(const std::string& prefix, const std::string& after, int most, Callback done);
  void txn(const std::vector<codec::Condition>& conditions, const std::vector<codec::Write>& writes,
           Callback done);
  void grant(double life_s, Callback done);
  void renew(std::uint64_t grant, Callback done);
  void watch(const std::string& prefix, std::uint64_t after, double wait_s, Callback done);
  /// Steady time of the last answer that showed the service serving us.
  double last_contact() const { return last_contact_; }

 private:
  void send(http::Client& client, const char* method, std::string target, const codec::Json* body,
            double timeout_s, bool counts, Callback done);
  http::Client requests_, watches_, grants_;
  double last_contact_ = -1e9;
};

}  // namespace corkmux
