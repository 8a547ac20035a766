#include "election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.h"
#include "leader_record.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
namespace {

/// The stored term, if a further one can be claimed after it.
std::optional<std::uint64_t> usable_term(const codec::Json& record) {
  auto term = parse_term_record(record);
  if (!term)
    spdlog::error("no term can be claimed: the stored term cannot be read");
  else if (*term >= c::kLastTerm)
    spdlog::error("no term can be claimed: the stored term {} is the last", *term);
  return term && *term < c::kLastTerm ? term : std::nullopt;
}

}  // namespace

Election::Election(Loop& loop, std::string label, StateClient& state, Callbacks callbacks)
    : Actor(loop),
      label_(std::move(label)),
      state_(state),
      callbacks_(std::move(callbacks)),
      observe_timer_(loop),
      renew_timer_(loop) {}

void Election::announce(const std::string& label, std::uint64_t term) {
  leader_ = label;
  callbacks_.leader_observed(label, term);
}

void Election::retry() {
  if (role_ == Role::Following && !observe_timer_.active()) observe();
}

// ---------------------------------------------------------------- following

void Election::observe() {
  if (role_ != Role::Following) return;
  state_.get(kLeaderKey, guarded([this](StateReply reply) { observed(reply); }));
}

void Election::observe_after(double pause_s) {
  observe_timer_.once(pause_s, [this] { observe(); });
}

void Election::observed(const StateReply& reply) {
  bool may_lead = !abstaining_ && callbacks_.ready();
  if (reply.status == StateStatus::Missing) {
    if (!leader_.empty()) announce("", 0);
    if (!may_lead || steady_now() < campaign_not_before_) return observe_after(kPollInterval);
    return campaign(0);
  }
  auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
  if (!kv) return observe_after(kRetryInterval);
  auto leader = parse_leader_record(kv->value);
  // A record with this controller's label is left from before its restart: it is replaced at once, under a
  // new term.
  if (leader.label == label_ && may_lead) return campaign(kv->revision);
  announce(leader.label, leader.term);
  watch(kv->revision);
}

void Election::watch(std::uint64_t after) {
  state_.watch(kLeaderKey, after, c::kWatchWait, guarded([this, after](StateReply reply) {
                 if (reply.ok() && codec::parse_events(reply.body).events.empty()) return watch(after);
                 observe_after(reply.ok() ? 0.0 : kRetryInterval);
               }));
}

// ---------------------------------------------------------------- campaigning

/// `known_revision`: revision of the leader's record that is to be replaced; 0: there is none.
void Election::campaign(std::uint64_t known_revision) {
  role_ = Role::Campaigning;
  ++epoch_;
  state_.create_lease(c::kLeaderLeaseDuration, guarded([this, known_revision](StateReply reply) {
                        if (!reply.ok()) return abort_campaign(kRetryInterval);
                        leader_lease_ = codec::parse_lease(reply.body);
                        read_term(known_revision);
                      }));
}

void Election::abort_campaign(double pause_s) {
  role_ = Role::Following;
  ++epoch_;
  observe_after(pause_s);
}

void Election::read_term(std::uint64_t known_revision) {
  state_.get(kTermKey, guarded([this, known_revision](StateReply reply) {
               if (reply.status == StateStatus::Missing) {
                 term_ = 0;
                 return claim(known_revision, 0);
               }
               auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
               if (!kv) return abort_campaign(kRetryInterval);
               auto last_claimed = usable_term(kv->value);
               if (!last_claimed) return abort_campaign(c::kUnusableTermRetryInterval);
               term_ = *last_claimed;
               claim(known_revision, kv->revision);
             }));
}

/// Claims the next term. The transaction fails if another controller has claimed one since the reads.
void Election::claim(std::uint64_t known_revision, std::uint64_t term_revision) {
  if (!mutation_enabled("a term is used twice")) ++term_;
  state_.transaction({{kLeaderKey, known_revision}, {kTermKey, term_revision}},
                     {{kLeaderKey, to_json(LeaderRecord{label_, term_}), leader_lease_},
                      {kTermKey, term_record_to_json(term_), 0}},
                     guarded([this](StateReply reply) { claimed(reply); }));
}

void Election::claimed(const StateReply& reply) {
  if (!reply.ok()) return abort_campaign(reply.status == StateStatus::Conflict ? 0.0 : kRetryInterval);
  role_ = Role::Leading;
  reserving_ = false;
  ++epoch_;
  revision_ = codec::parse_revision(reply.body);
  // A controller that wins while it shuts down resigns, or the term would have no working leader.
  if (abstaining_) return resign(0);
  renew_timer_.every(c::kLeaderLeaseRenewInterval, [this] { renew(); });
  callbacks_.won({term_, revision_, reply.sent_at});
  announce(label_, term_);
}

// ---------------------------------------------------------------- leading

void Election::renew() {
  state_.renew_lease(leader_lease_, guarded([this](StateReply reply) {
                       if (reply.ok()) callbacks_.renewed(reply.sent_at);
                       if (reply.status == StateStatus::Missing)
                         callbacks_.lost(StepDownReason::LeaseExpired);
                     }));
}

void Election::renew_now() {
  if (role_ == Role::Leading) renew();
}

void Election::verify() {
  if (role_ != Role::Leading) return;
  state_.get(kLeaderKey, guarded([this](StateReply reply) {
               auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
               if (reply.status == StateStatus::Missing || (kv && kv->revision != revision_))
                 callbacks_.lost(StepDownReason::WorkerFollowsNewerLeader);
             }));
}

void Election::reserve_term(std::uint64_t at_least, ReservedCallback reserved) {
  if (role_ != Role::Leading || std::exchange(reserving_, true)) return;
  state_.get(kTermKey, guarded([this, at_least, reserved = std::move(reserved)](const StateReply& reply) {
               auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
               auto last_claimed = kv ? usable_term(kv->value) : std::nullopt;
               if (!last_claimed) {
                 reserving_ = false;
                 return;
               }
               const std::uint64_t term = std::min(std::max(*last_claimed + 1, at_least), c::kLastTerm);
               raise_term(term, kv->revision, reserved);
             }));
}

/// The leader's record stays as it is, so all writes of this leader remain valid. If the answer is lost, the
/// next call reserves a term above the one that may have been stored.
void Election::raise_term(std::uint64_t term, std::uint64_t term_revision, const ReservedCallback& reserved) {
  state_.transaction({{kLeaderKey, revision_}, {kTermKey, term_revision}},
                     {{kTermKey, term_record_to_json(term), 0}},
                     guarded([this, term, reserved](const StateReply& reply) {
                       reserving_ = false;
                       if (reply.ok()) return reserved(term);
                       if (reply.status == StateStatus::Conflict) verify();
                     }));
}

void Election::resign(double pause_s, DoneCallback done) {
  if (role_ != Role::Leading) {
    if (done) done();
    return;
  }
  state_.transaction({{kLeaderKey, revision_}}, {{kLeaderKey, std::nullopt, 0}},
                     [this, lease = leader_lease_, done = std::move(done)](StateReply) {
                       // The lease is revoked even if the transaction failed: the record is removed with it.
                       state_.revoke_lease(lease, [done](StateReply) {
                         if (done) done();
                       });
                     });
  step_down(pause_s);
}

void Election::step_down(double pause_s) {
  if (role_ == Role::Following) return;
  role_ = Role::Following;
  ++epoch_;
  renew_timer_.stop();
  campaign_not_before_ = steady_now() + pause_s;
  announce("", 0);
  observe_after(0);
}

}  // namespace corkmux
