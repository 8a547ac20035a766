// The leader's part that takes heartbeats, one by one or in the batches of other controllers.
#include <spdlog/spdlog.h>

#include "leader.h"

namespace corkmux {

/// While one exists, react() does nothing: what follows from many heartbeats is done once, at their end.
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

// ---------------------------------------------------------------- single heartbeats

void Leader::heartbeat(Heartbeat heartbeat, HeartbeatRoute route, HeartbeatCallback reply) {
  take({std::move(heartbeat), route, "", std::move(reply)});
}

void Leader::take(IncomingHeartbeat incoming) {
  if (!leadership_) return incoming.reply({});
  if (leading() && resumed()) return handle(incoming);
  if (leadership_->parked_heartbeats.full()) return incoming.reply({});
  leadership_->parked_heartbeats.add(std::move(incoming));
}

void Leader::handle(const IncomingHeartbeat& incoming) {
  const Heartbeat& heartbeat = incoming.heartbeat;
  double now = steady_now();
  Scheduler& scheduler = *leadership_->scheduler;
  // The store relay says nothing of whether workers reach us.
  if (incoming.route == HeartbeatRoute::Direct) leadership_->reachability.heard(now);
  // Without word from the state store we may have been replaced, and cancels go unseen: workers are kept
  // alive only as long as a cancel can still be met.
  if (now - leadership_->cancels->complete_until() > scheduler.config().keepalive())
    return incoming.reply({});
  if (spdlog::should_log(spdlog::level::debug) && !scheduler.machine(heartbeat.machine))
    spdlog::debug("first heartbeat of machine {}: {} in {}", heartbeat.machine, heartbeat.type,
                  heartbeat.zone);
  // Guards against commands into a partition: each would wait in vain while the launches could go with this
  // answer.
  if (incoming.route == HeartbeatRoute::StoreRelay) scheduler.set_unreachable(heartbeat.machine, now);
  auto result = scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
  if (result.superseded) {
    incoming.reply({});
    return election_.verify();
  }
  leadership_->dispatcher->served_by(heartbeat.machine, incoming.server);
  scheduler.heartbeat_answered(heartbeat.machine, now);
  auto commands = codec::commands_to_wire(result.fencing_token, result.commands, std::nullopt);
  incoming.reply({HeartbeatReply::Status::Answered, codec::pack(commands)});
  react();
}

void Leader::answer_parked() {
  if (!leading() || !resumed() || leadership_->parked_heartbeats.empty()) return;
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

/// A batch whose heartbeats are being answered. It is open itself until all of them were taken.
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
  // Workers that are connected to this controller itself are not served by another.
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

void Leader::take_forwarded(const fanin::ForwardedHeartbeat& forwarded, const std::string& server,
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
  take({std::get<Heartbeat>(std::move(completed)), HeartbeatRoute::Direct, server, std::move(answer)});
}

}  // namespace corkmux
