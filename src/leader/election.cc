#include "election.h"

#include "leader_constants.h"
#include "mutation.h"
#include "state_store_constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

Election::Election(Loop& loop, std::string label, StateClient& state, Callbacks callbacks)
    : Actor(loop),
      label_(std::move(label)),
      state_(state),
      callbacks_(std::move(callbacks)),
      observe_timer_(loop),
      renew_timer_(loop) {}

void Election::announce(const std::string& label, std::uint64_t term) {
  leader_ = label;
  callbacks_.known(label, term);
}

void Election::retry() {
  if (role_ == Role::Following && !observe_timer_.active()) observe();
}

void Election::observe() {
  if (role_ != Role::Following) return;
  state_.get(kLeaderKey, guarded([this](StateReply reply) {
               bool may_lead = !abstaining_ && callbacks_.ready();
               if (reply.status == StateStatus::Missing) {
                 if (!leader_.empty()) announce("", 0);
                 if (!may_lead || steady_now() < not_before_) {
                   observe_timer_.once(c::kElectionPollInterval, [this] { observe(); });
                   return;
                 }
                 return campaign(0);
               }
               auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
               if (!kv) {
                 observe_timer_.once(c::kElectionRetryInterval, [this] { observe(); });
                 return;
               }
               std::string label = kv->value.value("label", "");
               // A record in our own name is left from before a restart: it is taken over at once, under a
               // new term.
               if (label == label_ && may_lead) return campaign(kv->revision);
               announce(label, kv->value.value("term", std::uint64_t{0}));
               watch(kv->revision);
             }));
}

void Election::watch(std::uint64_t after) {
  state_.watch(kLeaderKey, after, c::kWatchWait, guarded([this, after](StateReply reply) {
                 if (reply.ok() && codec::parse_events(reply.body).events.empty()) return watch(after);
                 observe_timer_.once(reply.ok() ? 0.0 : c::kElectionRetryInterval, [this] { observe(); });
               }));
}

void Election::campaign(std::uint64_t known_revision) {
  role_ = Role::Campaigning;
  ++epoch_;
  auto retry = [this](double after) {
    role_ = Role::Following;
    ++epoch_;
    observe_timer_.once(after, [this] { observe(); });
  };
  state_.create_lease(
      c::kLeaderLeaseDuration, guarded([this, known_revision, retry](StateReply lease_reply) {
        if (!lease_reply.ok()) return retry(c::kElectionRetryInterval);
        leader_lease_ = codec::parse_lease(lease_reply.body);
        state_.get(kTermKey, guarded([this, known_revision, retry](StateReply reply) {
                     std::uint64_t revision = 0;
                     term_ = 0;
                     if (reply.ok()) {
                       auto kv = codec::parse_value(reply.body);
                       if (!kv) return retry(c::kElectionRetryInterval);
                       term_ = kv->value.value("n", std::uint64_t{0});
                       revision = kv->revision;
                     } else if (reply.status != StateStatus::Missing) {
                       return retry(c::kElectionRetryInterval);
                     }
                     if (!mutation_enabled("a term is used twice")) ++term_;
                     state_.txn({{kLeaderKey, known_revision}, {kTermKey, revision}},
                                {{kLeaderKey, codec::Json{{"label", label_}, {"term", term_}}, leader_lease_},
                                 {kTermKey, codec::Json{{"n", term_}}, 0}},
                                guarded([this, retry](StateReply done) {
                                  if (!done.ok())
                                    return retry(done.status == StateStatus::Conflict
                                                     ? 0.0
                                                     : c::kElectionRetryInterval);
                                  role_ = Role::Leading;
                                  ++epoch_;
                                  revision_ = codec::parse_revision(done.body);
                                  // Guards against a term that an ending controller wins: nobody would serve
                                  // it.
                                  if (abstaining_) return resign(0);
                                  renew_timer_.every(c::kLeaderLeaseRenewInterval, [this] { renew(); });
                                  callbacks_.won({term_, revision_, done.sent_at});
                                  announce(label_, term_);
                                }));
                   }));
      }));
}

void Election::renew() {
  state_.renew_lease(leader_lease_, guarded([this](StateReply reply) {
                       if (reply.ok()) callbacks_.renewed(reply.sent_at);
                       if (reply.status == StateStatus::Missing) callbacks_.lost("the grant ended");
                     }));
}

void Election::verify() {
  if (role_ != Role::Leading) return;
  state_.get(kLeaderKey, guarded([this](StateReply reply) {
               auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
               if (reply.status == StateStatus::Missing || (kv && kv->revision != revision_))
                 callbacks_.lost("a worker obeys a newer leader");
             }));
}

void Election::resign(double pause_s, std::function<void()> done) {
  if (role_ != Role::Leading) {
    if (done) done();
    return;
  }
  state_.txn({{kLeaderKey, revision_}}, {{kLeaderKey, std::nullopt, 0}},
             [this, lease = leader_lease_, done = std::move(done)](StateReply) {
               // Whether or not the record is gone: without its grant it soon is.
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
  not_before_ = steady_now() + pause_s;
  announce("", 0);
  observe_timer_.once(0, [this] { observe(); });
}

}  // namespace corkmux
