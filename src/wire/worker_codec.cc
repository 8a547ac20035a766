#include "worker_codec.h"

#include <string>
#include <utility>

#include "ipv4_address.h"
#include "name_table.h"
#include "wire_constants.h"
#include "wire_fields.h"
#include "wire_names.h"

namespace corkmux::codec {
namespace {

using namespace names;

// The compact encoding stores the index in these tables, so their order never changes.
const NameTable<TaskState> kStates{{"fetching", TaskState::Fetching},
                                   {"waiting", TaskState::Waiting},
                                   {"running", TaskState::Running},
                                   {"flushing", TaskState::Saving},
                                   {"ended", TaskState::Exited}};
const NameTable<ExitReason> kReasons{
    {"done", ExitReason::Done},   {"halted", ExitReason::Stopped}, {"mates_gone", ExitReason::PeersGone},
    {"alone", ExitReason::Alone}, {"error", ExitReason::Error},    {"no_room", ExitReason::NoCapacity},
    {"busy", ExitReason::Busy},   {"unknown", ExitReason::Unknown}};
const NameTable<TaskCommand::Op> kOperations{
    {kStart, TaskCommand::Op::Start}, {kStop, TaskCommand::Op::Stop}, {kForget, TaskCommand::Op::Forget}};

std::optional<TaskStatus> parse_task_status(const Json& body) {
  auto task = parse_task_name(text(body, kTask));
  if (!task) return std::nullopt;
  auto state = from_name(kStates, text(body, kPhase));
  if (!state) return std::nullopt;
  TaskStatus status;
  status.job = std::move(task->job);
  status.index = task->index;
  status.attempt = integer(body, kAttempt);
  status.state = *state;
  status.why = from_name(kReasons, text(body, kExitReason)).value_or(ExitReason::None);
  status.saved = flag(body, kSaved);
  return status;
}

std::string text_at(const Json& list, std::size_t index) {
  return index < list.size() && list[index].is_string() ? list[index].get<std::string>() : std::string();
}

/// Returns an empty string if the index is out of range.
template <typename Enum>
const char* name_at(const NameTable<Enum>& table, const Json& index) {
  if (!index.is_number_integer()) return "";
  auto position = index.get<std::int64_t>();
  if (position < 0 || position >= static_cast<std::int64_t>(table.size())) return "";
  return table[static_cast<std::size_t>(position)].name;
}

/// Adds [index, attempt, state(, reason, saved)] under the status's job.
void add_compact_status(Json& tasks, const Json& body) {
  auto task = parse_task_name(text(body, kTask));
  auto state = index_of(kStates, text(body, kPhase));
  if (!task || !state) return;
  Json status = {task->index, integer(body, kAttempt), *state};
  if (auto reason = index_of(kReasons, text(body, kExitReason))) status.push_back(*reason);
  if (flag(body, kSaved)) status.push_back(1);
  tasks[task->job].push_back(std::move(status));
}

Json expand_status(const std::string& job, const Json& compact) {
  Json status = {{kTask, task_name(job, compact[0].get<int>())},
                 {kAttempt, compact[1]},
                 {kPhase, name_at(kStates, compact[2])}};
  if (compact.size() > 3) status[kExitReason] = name_at(kReasons, compact[3]);
  if (compact.size() > 4) status[kSaved] = true;
  return status;
}

/// Returns the operation that begins with this letter.
std::string expand_operation(const std::string& letter) {
  for (const auto& operation : kOperations)
    if (letter == std::string(1, *operation.name)) return operation.name;
  return "";
}

constexpr std::size_t kCompactHeartbeatFields = 10;

}  // namespace

std::optional<Heartbeat> parse_heartbeat(const Json& body) {
  Heartbeat heartbeat;
  heartbeat.machine = text(body, kMachine);
  heartbeat.address = text(body, kAddress);
  heartbeat.type = text(body, kMachineType);
  heartbeat.zone = text(body, kZone);
  if (!is_valid_name(heartbeat.machine) || !is_valid_name(heartbeat.type) || !is_valid_name(heartbeat.zone) ||
      heartbeat.address.size() > constants::kMaxAddress)
    return std::nullopt;
  if (!heartbeat.address.empty() && !parse_ipv4_address(heartbeat.address)) return std::nullopt;
  heartbeat.spot = flag(body, kSpot);
  heartbeat.worker_epoch = integer(body, kWorkerEpoch);
  heartbeat.seq = integer(body, kSequence);
  heartbeat.fencing_token = integer(body, kFencingToken);
  if (field(body, kNotice)) heartbeat.notice_s = amount(body, kNotice).value_or(0);
  if (const Json* statuses = list_field(body, kTaskStatuses)) {
    heartbeat.tasks.reserve(statuses->size());
    for (const auto& item : *statuses)
      if (auto status = parse_task_status(item)) heartbeat.tasks.push_back(std::move(*status));
  }
  return heartbeat;
}

Json commands_to_wire(std::uint64_t fencing_token, const std::vector<TaskCommand>& commands,
                      std::optional<std::uint64_t> worker_epoch) {
  Json list = Json::array();
  for (const auto& command : commands) {
    Json item = {{kTask, task_name(command.job, command.index)},
                 {kAttempt, command.attempt},
                 {kOperation, to_name(kOperations, command.op)}};
    if (command.op == TaskCommand::Op::Stop) item[kGrace] = command.grace_s;
    list.push_back(std::move(item));
  }
  Json out = {{kFencingToken, fencing_token}, {kCommands, std::move(list)}};
  if (worker_epoch) out[kWorkerEpoch] = *worker_epoch;
  return out;
}

// [machine, address, type, zone, spot, worker epoch, sequence, fencing token, notice,
//  {job: [index, attempt, state(, reason, saved)]...}]: statuses are grouped by job, since the job's name
//  is the longest field.
Json compact_heartbeat(const Json& body) {
  if (!body.is_object()) return nullptr;
  Json tasks = Json::object();
  if (const Json* statuses = list_field(body, kTaskStatuses))
    for (const auto& status : *statuses) add_compact_status(tasks, status);
  const Json* notice = field(body, kNotice);
  return {text(body, kMachine),     text(body, kAddress),         text(body, kMachineType),
          text(body, kZone),        flag(body, kSpot) ? 1 : 0,    integer(body, kWorkerEpoch),
          integer(body, kSequence), integer(body, kFencingToken), notice ? *notice : Json(),
          std::move(tasks)};
}

Json expand_heartbeat(const Json& compact) {
  if (!compact.is_array() || compact.size() != kCompactHeartbeatFields || !compact[9].is_object())
    return nullptr;
  Json statuses = Json::array();
  for (const auto& [job, tasks] : compact[9].items())
    for (const auto& task : tasks)
      if (task.is_array() && task.size() >= 3 && task[0].is_number_integer())
        statuses.push_back(expand_status(job, task));
  return {{kMachine, text_at(compact, 0)},
          {kAddress, text_at(compact, 1)},
          {kMachineType, text_at(compact, 2)},
          {kZone, text_at(compact, 3)},
          {kSpot, compact[4] == 1},
          {kWorkerEpoch, compact[5]},
          {kSequence, compact[6]},
          {kFencingToken, compact[7]},
          {kNotice, compact[8]},
          {kTaskStatuses, std::move(statuses)}};
}

// [fencing token, [operation, task, attempt(, grace)]...]
Json compact_commands(const Json& body) {
  if (!body.is_object()) return nullptr;
  Json out = {integer(body, kFencingToken)};
  if (const Json* commands = list_field(body, kCommands))
    for (const auto& command : *commands) {
      Json compact = {text(command, kOperation).substr(0, 1), text(command, kTask),
                      integer(command, kAttempt)};
      if (const Json* grace = field(command, kGrace)) compact.push_back(*grace);
      out.push_back(std::move(compact));
    }
  return out;
}

Json expand_commands(const Json& compact) {
  if (!compact.is_array() || compact.empty()) return nullptr;
  Json commands = Json::array();
  for (std::size_t i = 1; i < compact.size(); ++i) {
    const Json& item = compact[i];
    if (!item.is_array() || item.size() < 3) continue;
    Json command = {{kOperation, expand_operation(text_at(item, 0))}, {kTask, item[1]}, {kAttempt, item[2]}};
    if (item.size() > 3) command[kGrace] = item[3];
    commands.push_back(std::move(command));
  }
  return {{kFencingToken, compact[0]}, {kCommands, std::move(commands)}};
}

Json redirect_to_wire(std::string_view label) { return {{kRedirectTarget, std::string(label)}}; }

}  // namespace corkmux::codec
