#include "command_dispatcher.h"

#include "codec.h"
#include "constants.h"
#include "heartbeat_fanin_constants.h"
#include "leader_constants.h"
#include "mutation.h"

namespace corkmux {
namespace c = constants;
using Outcome = Scheduler::DispatchOutcome;
namespace {

std::optional<Heartbeat> heartbeat_in(const std::string& body) {
  auto parsed = codec::unpack(body);
  return parsed ? codec::parse_heartbeat(*parsed) : std::nullopt;
}

Outcome outcome_of(int status, bool sent) {
  if (status == 200) return Outcome::Executed;
  if (status == 409) return Outcome::Refused;
  return sent ? Outcome::Unanswered : Outcome::Unsent;
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
      // Names of orders say the term, so that an outcome of a former one finds nothing.
      next_id_(term.number << c::kTermShift) {}

void CommandDispatcher::flush() {
  for (const auto& name : scheduler_.machines_with_commands()) send(name);
  post_batches();
}

void CommandDispatcher::send(const std::string& name) {
  auto command_batch = std::make_shared<CommandBatch>(scheduler_.take_commands(name, steady_now()));
  auto body = codec::pack(codec::commands_to_wire(command_batch->fencing_token, command_batch->commands,
                                                  command_batch->worker_epoch));
  auto server = servers_.find(name);
  if (server != servers_.end() && relay_.reachable(server->second))
    return add_to_batch(server->second, name, std::move(*command_batch), std::move(body));
  send_directly(name, std::move(command_batch), std::move(body));
}

void CommandDispatcher::send_directly(const std::string& name, std::shared_ptr<CommandBatch> command_batch,
                                      std::string body) {
  ++in_flight_;
  connections_.to(name, scheduler_.machine(name)->address)
      .request("POST", codec::kCommandsPath, std::move(body), c::kCommandTimeout,
               term_.guard([this, name, command_batch](http::Result r) {
                 --in_flight_;
                 settle(name, *command_batch, outcome_of(r.status, r.sent), r.body);
               }));
}

void CommandDispatcher::settle(const std::string& name, const CommandBatch& command_batch, Outcome outcome,
                               const std::string& body) {
  double now = steady_now();
  scheduler_.dispatch_done(name, command_batch, outcome, now);
  if (outcome == Outcome::Executed || outcome == Outcome::Refused)
    if (auto heartbeat = heartbeat_in(body))
      scheduler_.on_heartbeat(*heartbeat, Scheduler::Channel::CommandBatch, now);
  callbacks_.changed();
}

// ---------------------------------------------------------------- through serving controllers

void CommandDispatcher::served_by(const std::string& machine, const std::string& label) {
  if (label.empty())
    servers_.erase(machine);
  else
    servers_[machine] = label;
}

void CommandDispatcher::add_to_batch(const std::string& server, const std::string& name,
                                     CommandBatch command_batch, std::string body) {
  auto id = ++next_id_;
  batches_[server].push_back({id, name, scheduler_.machine(name)->address, std::move(body)});
  double deadline = steady_now() + c::kCommandTimeout + c::kForwardedCommandSlack;
  relayed_.emplace(id, Relayed{name, server, std::move(command_batch), deadline});
}

void CommandDispatcher::post_batches() {
  for (auto& [server, all] : std::exchange(batches_, {})) {
    std::vector<fanin::ForwardedCommands> message;
    std::size_t bytes = 0;
    for (auto& command_batch : all) {
      auto size = fanin::size_of(command_batch);
      if (bytes + size > c::kBatchBytes && !message.empty()) {
        post(server, std::exchange(message, {}));
        bytes = 0;
      }
      bytes += size;
      message.push_back(std::move(command_batch));
    }
    post(server, message);
  }
}

void CommandDispatcher::post(const std::string& server,
                             const std::vector<fanin::ForwardedCommands>& command_batch) {
  std::vector<std::uint64_t> ids;
  for (const auto& o : command_batch) ids.push_back(o.id);
  relay_.post(server, fanin::pack(fanin::ForwardedCommandBatch{own_label_, command_batch}),
              term_.guard([this, ids](http::Result r) {
                // Taken: each outcome comes by itself. Not answered: so it may, or the time runs out.
                bool untaken = (r.status == 0 && !r.sent) || r.status >= 400;
                if (!untaken && !mutation_enabled("an unanswered batch of orders counts as unsent")) return;
                if (r.ok()) return;
                for (auto id : ids) settle_relayed(id, Outcome::Unsent, "");
              }));
}

void CommandDispatcher::outcome(const fanin::CommandOutcome& o) {
  settle_relayed(o.id, outcome_of(o.status, o.sent), o.body);
}

/// Guards against an outcome that comes twice, late, or for a former term: its orders are settled already.
void CommandDispatcher::settle_relayed(std::uint64_t id, Outcome outcome, const std::string& body) {
  auto entry = relayed_.extract(id);
  if (!entry) return;
  Relayed& relayed = entry.mapped();
  // Whoever did not get through is not tried again before the machine reports through it once more.
  if (outcome == Outcome::Unsent || outcome == Outcome::Unanswered) servers_.erase(relayed.machine);
  settle(relayed.machine, relayed.command_batch, outcome, body);
}

void CommandDispatcher::inspect(const std::string& name) {
  connections_.to(name, scheduler_.machine(name)->address)
      .request("GET", "/inspect", "", c::kCommandTimeout, term_.guard([this](http::Result r) {
        if (!r.ok()) return;
        if (auto heartbeat = heartbeat_in(r.body))
          scheduler_.on_heartbeat(*heartbeat, Scheduler::Channel::CommandBatch, steady_now());
        callbacks_.changed();
      }));
}

void CommandDispatcher::forget_machines() {
  std::erase_if(servers_, [this](const auto& entry) { return !scheduler_.machine(entry.first); });
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
