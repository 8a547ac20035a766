#include "state_client.h"

#include <algorithm>
#include <utility>

namespace corkmux {
namespace c = constants;
namespace {

constexpr int kRequestQueue = 256;  // requests waiting for a connection
constexpr int kWatchQueue = 8;
constexpr int kLeaseQueue = 8;

/// Maps the store's HTTP status; 410 is its answer to a watch whose revision is older than its history.
StateStatus status_of(const http::Result& result) {
  switch (result.status) {
    case 200:
      return StateStatus::Ok;
    case 404:
    case 410:
      return StateStatus::Missing;
    case 409:
      return StateStatus::Conflict;
    case 429:
    case 503:
      return StateStatus::Refused;
    case 0:
      return result.sent ? StateStatus::Unanswered : StateStatus::Refused;
    default:
      return result.status < 500 ? StateStatus::Invalid : StateStatus::Unanswered;
  }
}

/// Whether an answer with this status shows that the store serves this controller's requests, successful or
/// not.
bool served(int status) { return status == 200 || status == 404 || status == 409 || status == 429; }

StateReply reply_of(const http::Result& result, double sent_at) {
  StateReply reply;
  reply.status = status_of(result);
  reply.sent_at = sent_at;
  if (result.body.empty()) return reply;
  if (auto body = codec::unpack_answer(result.body)) reply.body = std::move(*body);
  return reply;
}

}  // namespace

StateClient::StateClient(Loop& loop, const std::string& address)
    : requests_(loop, address, c::kStateConnections, kRequestQueue),
      watches_(loop, address, c::kWatchConnections, kWatchQueue),
      leases_(loop, address, 1, kLeaseQueue),  // renewals never queue behind other requests
      outage_("the state service", address) {
  for (auto* client : {&requests_, &leases_})
    client->observe([this](const http::Result& result) { log_outcome(outage_, result); });
}

void StateClient::send(http::Client& client, Request request, ReplyCallback done) {
  double sent_at = steady_now();
  auto answered = [this, sent_at, shows_contact = request.shows_contact,
                   done = std::move(done)](const http::Result& result) {
    StateReply reply = reply_of(result, sent_at);
    if (shows_contact && served(result.status)) last_contact_ = std::max(last_contact_, sent_at);
    done(std::move(reply));
  };
  client.request(request.method, std::move(request.target), std::move(request.body), request.timeout_s,
                 std::move(answered));
}

// ---------------------------------------------------------------- reads

void StateClient::get(const std::string& key, ReplyCallback done) {
  Request request{"GET", codec::key_path(key)};
  request.timeout_s = c::kReadTimeout;
  send(requests_, std::move(request), std::move(done));
}

void StateClient::list(const std::string& prefix, const std::string& after, int most, ReplyCallback done) {
  send(requests_, {"GET", codec::prefix_path(prefix, after, most)}, std::move(done));
}

void StateClient::read_all(const std::string& prefix, const std::string& after, ItemCallback each,
                           ReadEndCallback done) {
  auto so_far = std::make_shared<ReadEnd>();
  so_far->last = after;
  read_page(prefix, std::move(so_far), std::move(each), std::move(done));
}

void StateClient::read_page(const std::string& prefix, std::shared_ptr<ReadEnd> so_far, ItemCallback each,
                            ReadEndCallback done) {
  const std::string after = so_far->last;
  list(prefix, after, c::kListPage,
       [this, prefix, so_far = std::move(so_far), each = std::move(each),
        done = std::move(done)](const StateReply& reply) { page_read(prefix, so_far, each, done, reply); });
}

void StateClient::page_read(const std::string& prefix, std::shared_ptr<ReadEnd> so_far, ItemCallback each,
                            ReadEndCallback done, const StateReply& reply) {
  so_far->status = reply.status;
  if (!reply.ok()) return done(*so_far);
  auto page = codec::parse_page(reply.body);
  if (!so_far->revision) so_far->revision = page.revision;
  if (!page.items.empty()) so_far->last = page.items.back().key;
  for (auto& item : page.items) each(item);
  // Guards against treating a partial read as complete: only the store's `more` flag shows whether a page was
  // the last.
  if (page.more && !page.items.empty())
    return read_page(prefix, std::move(so_far), std::move(each), std::move(done));
  done(*so_far);
}

void StateClient::watch(const std::string& prefix, std::uint64_t after, double wait_s, ReplyCallback done) {
  Request request{"GET", codec::watch_path(prefix, after, wait_s)};
  request.timeout_s = wait_s + c::kWatchSlack;
  request.shows_contact = false;
  send(watches_, std::move(request), std::move(done));
}

// ---------------------------------------------------------------- transactions

void StateClient::transaction(const std::vector<codec::Condition>& conditions,
                              const std::vector<codec::Write>& writes, ReplyCallback done) {
  auto body = codec::pack(codec::txn_to_wire(conditions, writes));
  send(requests_, {"POST", codec::kTxnPath, std::move(body)}, std::move(done));
}

void StateClient::compare(const std::vector<codec::Condition>& conditions, double timeout_s,
                          ReplyCallback done) {
  auto body = codec::pack(codec::txn_to_wire(conditions, {}));
  send(requests_, {"POST", codec::kTxnPath, std::move(body), timeout_s}, std::move(done));
}

// ---------------------------------------------------------------- leases

void StateClient::create_lease(double duration_s, ReplyCallback done) {
  auto body = codec::pack(codec::lease_request(duration_s));
  send(leases_, {"POST", codec::kLeasePath, std::move(body)}, std::move(done));
}

void StateClient::renew_lease(LeaseId lease, ReplyCallback done) {
  auto body = codec::pack(codec::Json::object());
  send(leases_, {"POST", codec::renew_path(lease), std::move(body), c::kLeaderLeaseRenewInterval},
       std::move(done));
}

void StateClient::revoke_lease(LeaseId lease, ReplyCallback done) {
  send(leases_, {"DELETE", codec::lease_path(lease)}, std::move(done));
}

}  // namespace corkmux
