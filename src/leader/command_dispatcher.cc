#include "command_dispatcher.h"

#include "codec.h"
#include "constants.h"
#include "heartbeat_fanin_constants.h"
#include "mutation.h"

namespace corkmux {
namespace c = constants;
using Outcome = Scheduler::DispatchOutcome;
namespace {

std::optional<Heartbeat> heartbeat_in(const std::string& body) {
  auto parsed = codec::unpack(body);
  return parsed ? codec::parse_heartbeat(*parsed) : std::nullopt;
}

Outcome outcome_of(const WorkerReply& reply) {
  switch (reply.kind()) {
    case WorkerReply::Kind::Executed:
      return Outcome::Executed;
    case WorkerReply::Kind::Refused:
      return Outcome::Refused;
    case WorkerReply::Kind::Unsent:
      return Outcome::Unsent;
    case WorkerReply::Kind::Unanswered:
      break;
  }
  return Outcome::Unanswered;
}

/// Whether the controller that should forward the batch has forwarded none of its commands: it did not
/// receive the batch, could not read it, or has no capacity for it. Any other failure may have come half way.
bool certainly_not_forwarded(const http::Result& result) {
  constexpr int kFirstClientError = 400;
  constexpr int kFirstServerError = 500;
  constexpr int kUnavailable = 503;
  if (result.status == 0) return !result.sent;
  const bool client_error = result.status >= kFirstClientError && result.status < kFirstServerError;
  return client_error || result.status == kUnavailable;
}

}  // namespace

CommandDispatcher::CommandDispatcher(Loop& loop, const Settings& settings, Term& term, Scheduler& scheduler,
                                     TermCallbacks callbacks, CommandRelay relay)
    : Actor(loop),
      term_(term),
      scheduler_(scheduler),
      callbacks_(std::move(callbacks)),
      relay_(std::move(relay)),
      own_label_(settings.label),
      connections_(loop, static_cast<std::size_t>(settings.max_connections * c::kCommandConnectionShare)),
      // Ids contain the term, so that an outcome of an earlier term matches no command of this one.
      last_id_(term.number << kCommandIdTermShift) {}

void CommandDispatcher::flush() {
  for (const auto& machine : scheduler_.machines_with_commands()) send(machine);
  post_batches();
}

void CommandDispatcher::send(const std::string& machine) {
  CommandBatch commands = scheduler_.take_commands(machine, steady_now());
  auto body =
      codec::pack(codec::commands_to_wire(commands.fencing_token, commands.commands, commands.worker_epoch));
  auto forwarder = forwarders_.find(machine);
  if (forwarder != forwarders_.end() && relay_.reachable(forwarder->second))
    return add_to_batch(forwarder->second, machine, std::move(commands), std::move(body));
  send_directly(machine, std::move(commands), std::move(body));
}

void CommandDispatcher::send_directly(const std::string& machine, CommandBatch commands, std::string body) {
  ++in_flight_;
  auto answered = [this, machine, commands = std::move(commands)](const http::Result& result) {
    --in_flight_;
    auto reply = WorkerReply::from_http(result);
    settle(machine, commands, outcome_of(reply), reply.body());
  };
  connections_.to(machine, scheduler_.machine(machine)->address)
      .request("POST", codec::kCommandsPath, std::move(body), c::kCommandTimeout,
               term_.guard(std::move(answered)));
}

void CommandDispatcher::settle(const std::string& machine, const CommandBatch& commands, Outcome outcome,
                               const std::string& body) {
  double now = steady_now();
  const bool answered = outcome == Outcome::Executed || outcome == Outcome::Refused;
  const auto heartbeat = answered ? heartbeat_in(body) : std::nullopt;
  // Without the machine's own report it is not known what happened there: another machine may have its
  // address now and have executed the commands, and a heartbeat from before the commands would prove what
  // they started to be absent.
  if (answered && (!heartbeat || heartbeat->machine != machine)) outcome = Outcome::Unanswered;
  scheduler_.dispatch_done(machine, commands, outcome, now);
  if (heartbeat) scheduler_.on_heartbeat(*heartbeat, Scheduler::Channel::CommandBatch, now);
  callbacks_.changed();
}

// ---------------------------------------------------------------- commands through other controllers

void CommandDispatcher::set_forwarder(const std::string& machine, const std::string& label) {
  if (label.empty())
    forwarders_.erase(machine);
  else
    forwarders_[machine] = label;
}

void CommandDispatcher::add_to_batch(const std::string& forwarder, const std::string& machine,
                                     CommandBatch commands, std::string body) {
  auto id = ++last_id_;
  batches_[forwarder].push_back({id, machine, scheduler_.machine(machine)->address, std::move(body)});
  double deadline = steady_now() + c::kCommandTimeout + kRelayedOutcomeSlack;
  relayed_.emplace(id, RelayedCommands{machine, forwarder, std::move(commands), deadline});
}

void CommandDispatcher::post_batches() {
  auto batches = std::exchange(batches_, {});
  for (auto& [forwarder, commands] : batches) post_in_messages(forwarder, std::move(commands));
}

void CommandDispatcher::post_in_messages(const std::string& forwarder,
                                         std::vector<fanin::ForwardedCommands> commands) {
  std::vector<fanin::ForwardedCommands> message;
  std::size_t bytes = 0;
  for (auto& to_worker : commands) {
    auto size = fanin::size_of(to_worker);
    if (bytes + size > c::kBatchBytes && !message.empty()) {
      post(forwarder, std::exchange(message, {}));
      bytes = 0;
    }
    bytes += size;
    message.push_back(std::move(to_worker));
  }
  post(forwarder, message);
}

void CommandDispatcher::post(const std::string& forwarder,
                             const std::vector<fanin::ForwardedCommands>& commands) {
  std::vector<std::uint64_t> ids;
  for (const auto& to_worker : commands) ids.push_back(to_worker.id);
  auto posted = [this, ids](const http::Result& result) {
    // If the batch was accepted, an outcome follows for each worker. If the post was not answered, or failed
    // half way, outcomes may still follow; otherwise the deadline settles the commands.
    if (!certainly_not_forwarded(result) &&
        !mutation_enabled("an unanswered batch of commands counts as unsent"))
      return;
    if (result.ok()) return;
    for (auto id : ids) settle_relayed(id, Outcome::Unsent, "");
  };
  relay_.post(forwarder, fanin::pack(fanin::ForwardedCommandBatch{own_label_, commands}),
              term_.guard(std::move(posted)));
}

void CommandDispatcher::outcome(const fanin::CommandOutcome& outcome) {
  settle_relayed(outcome.id, outcome_of(outcome.reply), outcome.reply.body());
}

/// Ignores an outcome that arrives twice, late, or for an earlier term: its commands are settled already.
void CommandDispatcher::settle_relayed(std::uint64_t id, Outcome outcome, const std::string& body) {
  auto entry = relayed_.extract(id);
  if (!entry) return;
  RelayedCommands& relayed = entry.mapped();
  // A controller that did not reach the worker gets no further commands for this machine until it forwards a
  // heartbeat of it again.
  if (outcome == Outcome::Unsent || outcome == Outcome::Unanswered) forwarders_.erase(relayed.machine);
  settle(relayed.machine, relayed.commands, outcome, body);
}

// ---------------------------------------------------------------- inspection and deadlines

void CommandDispatcher::inspect(const std::string& machine) {
  const std::string& address = scheduler_.machine(machine)->address;
  if (address.empty()) return;
  auto inspected = [this](const http::Result& result) {
    if (!result.ok()) return;
    if (auto heartbeat = heartbeat_in(result.body))
      scheduler_.on_heartbeat(*heartbeat, Scheduler::Channel::CommandBatch, steady_now());
    callbacks_.changed();
  };
  connections_.to(machine, address)
      .request("GET", "/inspect", "", c::kCommandTimeout, term_.guard(std::move(inspected)));
}

void CommandDispatcher::forget_unknown_machines() {
  std::erase_if(forwarders_, [this](const auto& entry) { return !scheduler_.machine(entry.first); });
}

void CommandDispatcher::sweep() {
  connections_.close_idle();
  double now = steady_now();
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, relayed] : relayed_)
    if (relayed.deadline <= now) overdue.push_back(id);
  for (auto id : overdue) settle_relayed(id, Outcome::Unanswered, "");
}

}  // namespace corkmux
