#include "worker.h"

#include <algorithm>

#include "exit_causes.h"
#include "simulation_constants.h"

namespace corkmux::simulation {

using codec::Json;

namespace {

constexpr std::size_t kMaxCommandConnections = 50;
constexpr double kHeartbeatJitter = 0.25;    // fraction by which the heartbeat interval varies either way
constexpr double kMaxRedirectDelay = 0.5;    // s; a redirect is followed after a random delay up to this
constexpr double kAfterLeaseExpiry = 0.001;  // s between a lease's expiry and its timer
constexpr int kConnectionsToController = 1;
constexpr int kWaitingForController = 2;
constexpr const char* kHeartbeatPath = "/v1/report";

/// The protocol's names of phases.
const char* phase_to_wire(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::Fetching:
      return "fetching";
    case TaskPhase::Waiting:
      return "waiting";
    case TaskPhase::Running:
      return "running";
    case TaskPhase::Saving:
      return "flushing";
    case TaskPhase::Ended:
      return "ended";
  }
  return "";
}

Json task_to_wire(const TaskKey& key, const MachineTask& task) {
  Json wire = {{"part", key.task_id}, {"try", key.attempt}, {"phase", phase_to_wire(task.phase)}};
  if (task.phase == TaskPhase::Ended) wire["cause"] = task.cause;
  if (task.saved) wire["kept"] = true;
  return wire;
}

}  // namespace

Worker::Worker(Loop& loop, MachineFacts facts, WorkerTimes times,
               std::map<std::string, std::string> controllers, JobRegistry& registry,
               const std::string& listen)
    : loop_(loop),
      facts_(std::move(facts)),
      times_(times),
      controllers_(std::move(controllers)),
      ip_(listen.substr(0, listen.rfind(':'))),
      rng_(fresh_seed()),
      server_(loop, listen, kMaxCommandConnections,
              [this](http::Server::ConnectionId id, const http::Request& request) { serve(id, request); }),
      timer_(loop),
      executor_(loop, facts_, times_.gang_wait_s, registry, rng_, [this] { hasten_heartbeat(); }),
      leased_from_(steady_now()) {
  auto first = controllers_.begin();
  std::advance(first, static_cast<long>(rng_() % controllers_.size()));
  controller_ = first->first;
  next_heartbeat_ = steady_now();
  schedule();
}

int Worker::running() const {
  const auto& tasks = executor_.tasks();
  return static_cast<int>(std::count_if(tasks.begin(), tasks.end(), [](const auto& entry) {
    return entry.second.phase == TaskPhase::Running;
  }));
}

double Worker::random_between(double from, double to) {
  return std::uniform_real_distribution<double>(from, to)(rng_);
}

// ---------------------------------------------------------------- the machine and its lease

void Worker::announce_reclaim(double in_s) {
  reclaimed_at_ = steady_now() + in_s;
  hasten_heartbeat();
}

void Worker::terminate(const std::string& why) {
  terminated_ = true;
  timer_.stop();
  executor_.terminate(why);
}

void Worker::expire_lease() {
  if (steady_now() - leased_from_ <= times_.lease_s) return;
  executor_.abort_all(exit_cause::kLeaseExpired);
  ++worker_epoch_;
  leased_from_ = steady_now();
  hasten_heartbeat();
}

void Worker::advance() {
  expire_lease();
  executor_.advance();
  if (!awaits_answer_ && steady_now() >= next_heartbeat_) send_heartbeat();
  schedule();
}

void Worker::schedule() {
  if (terminated_) return;
  double due = std::min(lease_expires_at() + kAfterLeaseExpiry, executor_.next_deadline());
  if (!awaits_answer_) due = std::min(due, next_heartbeat_);
  timer_.once(std::max(0.0, due - steady_now()), [this] { advance(); });
}

// ---------------------------------------------------------------- heartbeats

Json Worker::heartbeat() {
  Json tasks = Json::array();
  for (const auto& [key, task] : executor_.tasks()) tasks.push_back(task_to_wire(key, task));
  Json reclaimed_in_s;  // null: no reclaim was announced
  if (reclaimed_at_) reclaimed_in_s = std::max(0.0, *reclaimed_at_ - steady_now());
  ++heartbeats_;
  return {{"host", facts_.name}, {"address", address()},    {"build", facts_.type.name},
          {"room", facts_.zone}, {"lendable", facts_.spot}, {"watch", worker_epoch_},
          {"tick", heartbeats_}, {"baton", fencing_token_}, {"warningS", reclaimed_in_s},
          {"parts", tasks}};
}

void Worker::hasten_heartbeat() {
  const double earliest = std::max(steady_now(), last_heartbeat_ + kMinHeartbeatInterval);
  next_heartbeat_ = std::min(next_heartbeat_, earliest);
  schedule();
}

void Worker::send_heartbeat() {
  const double now = steady_now();
  last_heartbeat_ = now;
  awaits_answer_ = true;
  next_heartbeat_ = now + times_.heartbeat_s * random_between(1 - kHeartbeatJitter, 1 + kHeartbeatJitter);
  auto& client = clients_[controller_];
  if (!client)
    client = std::make_unique<http::Client>(loop_, controllers_.at(controller_), kConnectionsToController,
                                            kWaitingForController);
  client->request("POST", kHeartbeatPath, codec::pack(heartbeat()), kHeartbeatTimeout,
                  [this, now, epoch = worker_epoch_](const http::Result& result) {
                    heartbeat_answered(result, now, epoch);
                  });
}

void Worker::heartbeat_answered(const http::Result& result, double sent_at, std::uint64_t epoch) {
  awaits_answer_ = false;
  if (terminated_) return;
  expire_lease();
  const auto body = codec::unpack(result.body);
  const bool readable = body && body->is_object();
  if (result.status == 200 && readable) {
    const bool superseded = epoch != worker_epoch_ || body->value("baton", std::uint64_t{0}) < fencing_token_;
    if (!superseded) {
      leased_from_ = sent_at;
      execute(*body);
    }
    return schedule();
  }
  if (result.status == 421 && readable && body->contains("herald"))
    return follow_redirect((*body)["herald"].get<std::string>());
  try_next_controller();
}

void Worker::follow_redirect(const std::string& controller) {
  if (controller == controller_ || !controllers_.contains(controller)) return try_next_controller();
  controller_ = controller;
  next_heartbeat_ = steady_now() + random_between(0, kMaxRedirectDelay);
  schedule();
}

void Worker::try_next_controller() {
  auto next = controllers_.upper_bound(controller_);
  if (next == controllers_.end()) next = controllers_.begin();
  controller_ = next->first;
  next_heartbeat_ = steady_now() + kNextControllerDelay;
  schedule();
}

// ---------------------------------------------------------------- commands

void Worker::serve(http::Server::ConnectionId id, const http::Request& request) {
  // A terminated worker that is not destroyed at once stays silent, so that it starts no tasks after its end.
  if (terminated_) return;
  expire_lease();
  int status = 200;
  if (request.target == codec::kCommandsPath) {
    const Json batch = codec::unpack(request.body).value_or(Json::object());
    status = command_status(batch);
    if (status == 200) execute(batch);
  }
  server_.respond(id, {status, codec::pack(heartbeat()), 0, false});
  schedule();
}

int Worker::command_status(const Json& batch) const {
  if (!batch.contains("baton") || !batch.contains("watch")) return 400;
  const bool superseded =
      batch["baton"].get<std::uint64_t>() < fencing_token_ || batch["watch"] != worker_epoch_;
  return superseded ? 409 : 200;
}

/// Executes the commands of a command batch or of an answer to a heartbeat, which may carry commands too.
void Worker::execute(const Json& batch) {
  const auto token = batch["baton"].get<std::uint64_t>();
  const double now = steady_now();
  const bool raised = token > fencing_token_;
  fencing_token_ = token;
  for (const auto& command : batch["orders"]) execute_one(command);
  const bool reports_token = raised && now - fencing_token_reported_at_ > times_.lease_s / 2;
  if (batch["orders"].empty() && !reports_token) return;
  if (raised) fencing_token_reported_at_ = now;
  hasten_heartbeat();
}

void Worker::execute_one(const Json& command) {
  const TaskKey key{command["part"].get<std::string>(), command["try"].get<std::uint64_t>()};
  const auto& verb = command["verb"];
  if (verb == "launch")
    executor_.launch(key);
  else if (verb == "halt")
    executor_.stop(key, command.value("mercyS", 0.0));
  else if (verb == "clear")
    executor_.clear(key);
}

}  // namespace corkmux::simulation
