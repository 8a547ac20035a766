// The part of Leader that handles heartbeats, single ones and batches from other controllers.
#include <spdlog/spdlog.h>

#include "leader.h"

namespace corkmux {

/// While an instance exists, react() does nothing, so that the reaction to many heartbeats runs once, after
/// the last one.
class Leader::DeferredReaction {
 public:
  explicit DeferredReaction(Leader& leader)
      : leader_(leader), outermost_(!std::exchange(leader.reaction_deferred_, true)) {}
  ~DeferredReaction() {
    if (outermost_) leader_.reaction_deferred_ = false;
  }
  DeferredReaction(const DeferredReaction&) = delete;
  DeferredReaction& operator=(const DeferredReaction&) = delete;

 private:
  Leader& leader_;
  bool outermost_;
};

namespace {

RenewalDecision renewal_route(const IncomingHeartbeat& incoming) {
  if (incoming.route == HeartbeatRoute::StoreRelay) return RenewalDecision::StoreRelay;
  return incoming.forwarder.empty() ? RenewalDecision::Direct : RenewalDecision::Forwarded;
}

}  // namespace

// ---------------------------------------------------------------- single heartbeats

void Leader::heartbeat(Heartbeat heartbeat, HeartbeatRoute route, HeartbeatCallback reply) {
  take({std::move(heartbeat), route, "", std::move(reply)});
}

void Leader::take(IncomingHeartbeat incoming) {
  if (!leadership_) return incoming.reply({});
  if (leading() && may_proceed()) return handle(incoming);
  if (leadership_->parked_heartbeats.full()) return incoming.reply({});
  leadership_->parked_heartbeats.add(std::move(incoming));
}

void Leader::handle(const IncomingHeartbeat& incoming) {
  const Heartbeat& heartbeat = incoming.heartbeat;
  double now = steady_now();
  Scheduler& scheduler = *leadership_->scheduler;
  // A heartbeat through the store relay does not show that workers can reach this controller.
  if (incoming.route == HeartbeatRoute::Direct) leadership_->reachability.heartbeat_received(now);
  // Without an answer of the state store this leader may have been replaced, and may miss cancels: leases are
  // renewed only as long as a cancel can still be carried out in time.
  if (now - leadership_->cancels->complete_until() > scheduler.config().keepalive()) {
    leadership_->renewals.count(RenewalDecision::CancelsUnknown);
    return incoming.reply({});
  }
  if (spdlog::should_log(spdlog::level::debug) && !scheduler.machine(heartbeat.machine))
    spdlog::debug("first heartbeat of machine {}: {} in {}", heartbeat.machine, heartbeat.type,
                  heartbeat.zone);
  // The worker is behind a network partition: a command sent to it would time out, whereas launches can be
  // sent with this answer.
  if (incoming.route == HeartbeatRoute::StoreRelay) scheduler.set_unreachable(heartbeat.machine, now);
  auto result = scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
  if (result.superseded) {
    leadership_->renewals.count(RenewalDecision::ForeignToken);
    incoming.reply({});
    return election_.verify();
  }
  leadership_->dispatcher->set_forwarder(heartbeat.machine, incoming.forwarder);
  scheduler.heartbeat_answered(heartbeat.machine, now);
  leadership_->renewals.count(renewal_route(incoming));
  auto commands = codec::commands_to_wire(result.fencing_token, result.commands, std::nullopt);
  incoming.reply({HeartbeatReply::Status::Answered, codec::pack(commands)});
  react();
}

void Leader::answer_parked() {
  if (!leading() || !may_proceed() || leadership_->parked_heartbeats.empty()) return;
  {
    DeferredReaction deferred(*this);
    for (auto& parked : leadership_->parked_heartbeats.take_all())
      if (leadership_)
        handle(parked);
      else
        parked.reply({});
  }
  react();
}

// ---------------------------------------------------------------- batches of other controllers

/// A batch whose heartbeats are being answered. `open` starts at 1 for the batch itself, so that the reply is
/// not sent before all heartbeats were taken.
struct Leader::OpenBatch {
  HeartbeatBatchCallback reply;
  std::size_t open = 1;
  std::vector<fanin::HeartbeatAnswer> answers;

  void answer(fanin::HeartbeatAnswer answer) {
    answers.push_back(std::move(answer));
    close_one();
  }
  void close_one() {
    if (--open == 0) reply(std::move(answers));
  }
};

void Leader::batch(fanin::HeartbeatBatch batch, HeartbeatBatchCallback reply) {
  if (!leadership_) return reply(std::nullopt);
  // Workers of this controller's own batches are connected to it, so commands go to them directly.
  if (batch.from == settings_.label) batch.from.clear();
  {
    DeferredReaction deferred(*this);
    if (leading())
      for (const auto& outcome : batch.outcomes) leadership_->dispatcher->outcome(outcome);
    auto open = std::make_shared<OpenBatch>();
    open->reply = std::move(reply);
    open->open += batch.heartbeats.size();
    for (const auto& forwarded : batch.heartbeats) take_forwarded(forwarded, batch.from, open);
    open->close_one();
  }
  react();
}

void Leader::take_forwarded(const fanin::ForwardedHeartbeat& forwarded, const std::string& forwarder,
                            const std::shared_ptr<OpenBatch>& open) {
  if (!leadership_) return open->answer({forwarded.id, LeaderReply::unavailable()});
  auto completed = leadership_->heartbeat_deltas.complete(forwarded);
  if (auto* error = std::get_if<HeartbeatDeltaCache::Error>(&completed)) {
    if (*error == HeartbeatDeltaCache::Error::Malformed)
      return open->answer({forwarded.id, LeaderReply::malformed()});
    return open->answer({forwarded.id, fanin::FullHeartbeatRequired()});
  }
  auto answer = [open, id = forwarded.id](HeartbeatReply reply) {
    open->answer({id, to_leader_reply(std::move(reply))});
  };
  take({std::get<Heartbeat>(std::move(completed)), HeartbeatRoute::Direct, forwarder, std::move(answer)});
}

}  // namespace corkmux
