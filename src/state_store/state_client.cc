#include "state_client.h"

#include "constants.h"
#include "state_store_constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

std::optional<std::string> reader_of_our_format(const codec::KeyValue& record) {
  if (!record.value.is_object() || record.value.value("f", 0) < c::kRecordFormat) return std::nullopt;
  return record.key.substr(std::min(kRecordFormats.size(), record.key.size()));
}

StateClient::StateClient(Loop& loop, const std::string& address)
    : requests_(loop, address, c::kStateConnections, 256),
      watches_(loop, address, 6, 8),
      leases_(loop, address, 1, 8),  // renewals never queue behind other requests
      outage_("the state service", address) {
  for (auto* client : {&requests_, &leases_})
    client->observe([this](const http::Result& r) { log_outcome(outage_, r); });
}

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
void StateClient::read_all(const std::string& prefix, const std::string& after,
                           std::function<void(codec::KeyValue&)> each,
                           std::function<void(const ReadEnd&)> done) {
  auto so_far = std::make_shared<ReadEnd>();
  so_far->last = after;
  read_page(prefix, std::move(so_far), std::move(each), std::move(done));
}
void StateClient::read_page(const std::string& prefix, std::shared_ptr<ReadEnd> so_far,
                            std::function<void(codec::KeyValue&)> each,
                            std::function<void(const ReadEnd&)> done) {
  list(prefix, so_far->last, c::kListPage,
       [this, prefix, so_far, each = std::move(each), done = std::move(done)](StateReply reply) {
         so_far->status = reply.status;
         if (!reply.ok()) return done(*so_far);
         auto page = codec::parse_page(reply.body);
         if (!so_far->revision) so_far->revision = page.revision;
         if (!page.items.empty()) so_far->last = page.items.back().key;
         for (auto& kv : page.items) each(kv);
         // Guards against taking a part for the whole: only the service says that a page was the last.
         if (page.more && !page.items.empty()) return read_page(prefix, so_far, each, done);
         done(*so_far);
       });
}
void StateClient::txn(const std::vector<codec::Condition>& conditions,
                      const std::vector<codec::Write>& writes, Callback done) {
  auto body = codec::txn_to_wire(conditions, writes);
  send(requests_, "POST", codec::kTxnPath, &body, c::kStateTimeout, true, std::move(done));
}
void StateClient::compare(const std::vector<codec::Condition>& conditions, double timeout_s, Callback done) {
  auto body = codec::txn_to_wire(conditions, {});
  send(requests_, "POST", codec::kTxnPath, &body, timeout_s, true, std::move(done));
}
void StateClient::create_lease(double life_s, Callback done) {
  auto body = codec::lease_request(life_s);
  send(leases_, "POST", codec::kLeasePath, &body, c::kStateTimeout, true, std::move(done));
}
void StateClient::renew_lease(std::uint64_t lease, Callback done) {
  auto body = codec::Json::object();
  send(leases_, "POST", codec::renew_path(lease), &body, c::kLeaderLeaseRenewInterval, true, std::move(done));
}
void StateClient::revoke_lease(std::uint64_t lease, Callback done) {
  send(leases_, "DELETE", codec::lease_path(lease), nullptr, c::kStateTimeout, true, std::move(done));
}
void StateClient::watch(const std::string& prefix, std::uint64_t after, double wait_s, Callback done) {
  send(watches_, "GET", codec::watch_path(prefix, after, wait_s), nullptr, wait_s + c::kWatchSlack, false,
       std::move(done));
}

}  // namespace corkmux
