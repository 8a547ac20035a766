#include "state_client.h"

#include "constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

std::set<std::string> readers_of_our_form(const codec::Json& page) {
  std::set<std::string> out;
  for (const auto& kv : codec::parse_page(page).items)
    if (kv.value.value("f", 0) >= c::kForm) out.insert(kv.key.substr(kForms.size()));
  return out;
}

StateClient::StateClient(Loop& loop, const std::string& address)
    : requests_(loop, address, c::kStateConnections, 256),
      watches_(loop, address, 4, 8),
      grants_(loop, address, 1, 8) {}  // renewals never queue behind other requests

void StateClient::send(http::Client& client, const char* method, std::string target, const codec::Json* body,
                       double timeout_s, bool counts, Callback done) {
  double sent_at = steady_now();
  client.request(method, std::move(target), body ? codec::pack(*body) : std::string(), timeout_s,
                 [this, sent_at, counts, done = std::move(done)](http::Result r) {
                   StateReply reply;
                   reply.sent_at = sent_at;
                   if (!r.body.empty())
                     if (auto parsed = codec::unpack(r.body)) reply.body = std::move(*parsed);
                   switch (r.status) {
                     case 200:
                       reply.status = StateStatus::Ok;
                       break;
                     case 404:
                       reply.status = StateStatus::Missing;
                       break;
                     case 409:
                       reply.status = StateStatus::Conflict;
                       break;
                     case 429:
                     case 503:
                       reply.status = StateStatus::Refused;
                       break;
                     case 0:
                       reply.status = r.sent ? StateStatus::Unanswered : StateStatus::Refused;
                       break;
                     case 410:
                       reply.status = StateStatus::Missing;
                       break;
                     default:
                       reply.status = r.status < 500 ? StateStatus::Invalid : StateStatus::Unanswered;
                   }
                   if (counts && (r.status == 200 || r.status == 404 || r.status == 409 || r.status == 429))
                     last_contact_ = std::max(last_contact_, sent_at);
                   done(std::move(reply));
                 });
}

void StateClient::get(const std::string& key, Callback done) {
  send(requests_, "GET", codec::key_path(key), nullptr, c::kReadTimeout, true, std::move(done));
}
void StateClient::list(const std::string& prefix, const std::string& after, int most, Callback done) {
  send(requests_, "GET", codec::prefix_path(prefix, after, most), nullptr, c::kStateTimeout, true,
       std::move(done));
}
void StateClient::txn(const std::vector<codec::Condition>& conditions,
                      const std::vector<codec::Write>& writes, Callback done) {
  auto body = codec::txn_to_wire(conditions, writes);
  send(requests_, "POST", codec::kTxnPath, &body, c::kStateTimeout, true, std::move(done));
}
void StateClient::grant(double life_s, Callback done) {
  auto body = codec::grant_request(life_s);
  send(grants_, "POST", codec::kGrantPath, &body, c::kStateTimeout, true, std::move(done));
}
void StateClient::renew(std::uint64_t grant, Callback done) {
  auto body = codec::Json::object();
  send(grants_, "POST", codec::renew_path(grant), &body, c::kGrantRenew, true, std::move(done));
}
void StateClient::watch(const std::string& prefix, std::uint64_t after, double wait_s, Callback done) {
  send(watches_, "GET", codec::watch_path(prefix, after, wait_s), nullptr, wait_s + c::kWatchSlack, false,
       std::move(done));
}

}  // namespace corkmux
