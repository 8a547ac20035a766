#include "task_record_codec.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <map>

#include "constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
using Json = nlohmann::json;

namespace {

// JSON fields of a V2 record.
constexpr const char* kFormat = "f";
constexpr const char* kStride = "c";
constexpr const char* kCount = "n";
constexpr const char* kZones = "z";
// JSON fields of both formats.
constexpr const char* kDone = "d";
constexpr const char* kTasks = "t";

/// Builds the text form of ascending numbers, such as "0-3,7".
class RangeText {
 public:
  void add(int number) {
    if (open_ && last_ + 1 == number) {
      last_ = number;
      return;
    }
    flush();
    open_ = true;
    first_ = number;
    last_ = number;
  }
  std::string text() {
    flush();
    return std::move(text_);
  }

 private:
  void flush() {
    if (!open_) return;
    if (!text_.empty()) text_ += ',';
    text_ += std::to_string(first_);
    if (last_ > first_) text_ += '-' + std::to_string(last_);
    open_ = false;
  }
  std::string text_;
  bool open_ = false;
  int first_ = 0;
  int last_ = 0;
};

std::vector<TaskRange> parse_ranges(const std::string& text) {
  std::vector<TaskRange> out;
  const char* position = text.data();
  const char* const end = position + text.size();
  while (position < end) {
    TaskRange range;
    auto parsed = std::from_chars(position, end, range.first);
    if (parsed.ec != std::errc()) break;
    range.last = range.first;
    if (parsed.ptr < end && *parsed.ptr == '-') parsed = std::from_chars(parsed.ptr + 1, end, range.last);
    out.push_back(range);
    position = parsed.ptr + 1;
  }
  return out;
}

bool is_done(const Job& job, int index) {
  return job.phase[static_cast<std::size_t>(index)] == TaskPhase::Done;
}

/// A V2 record groups tasks that share these fields.
struct AssignmentGroup {
  std::string machine;
  std::uint64_t worker_epoch = 0;
  std::size_t zone = 0;  // position in the record's list of zones
  std::uint64_t attempt = 0;
  auto operator<=>(const AssignmentGroup&) const = default;
};

}  // namespace

std::string task_record_key_v1(const std::string& job, int number) {
  return kTaskRecordsV1 + job + "/" + std::to_string(number);
}

std::string task_record_key_v2(const std::string& job, int from) {
  return fmt::format("{}{}/{:06}", kTaskRecordsV2, job, from);
}

std::optional<TaskRecordKey> parse_task_record_key(const std::string& key) {
  TaskRecordKey out;
  const bool v2 = key.starts_with(kTaskRecordsV2);
  out.format = v2 ? RecordFormat::V2 : RecordFormat::V1;
  const std::size_t start = v2 ? kTaskRecordsV2.size() : kTaskRecordsV1.size();
  const std::size_t slash = key.rfind('/');
  if (slash == std::string::npos || slash < start) return std::nullopt;
  out.job = key.substr(start, slash - start);
  out.number = std::atoi(key.c_str() + slash + 1);
  return out;
}

Json encode_task_record_v1(const Job& job, int from, int count) {
  Json done = Json::array();
  std::optional<int> run_from;
  for (int i = 0; i <= count; ++i) {
    const bool in_run = i < count && is_done(job, from + i);
    if (in_run && !run_from) run_from = i;
    if (in_run || !run_from) continue;
    done.push_back({*run_from, i - 1});
    run_from.reset();
  }
  Json tasks = Json::object();
  for (auto it = job.active.lower_bound(from); it != job.active.end() && it->first < from + count; ++it) {
    const ActiveTask& task = it->second;
    tasks[std::to_string(it->first - from)] = {task.attempt, task.machine, task.worker_epoch, task.zone};
  }
  return {{kDone, std::move(done)}, {kTasks, std::move(tasks)}};
}

// Tasks of one attempt on one machine are grouped, so the record's size grows with the number of machines,
// not with the number of tasks.
Json encode_task_record_v2(const Job& job, int from, int count) {
  RangeText done;
  for (int i = 0; i < count; ++i)
    if (is_done(job, from + i)) done.add(i);
  std::vector<std::string> zones;
  std::map<AssignmentGroup, RangeText> groups;
  for (auto it = job.active.lower_bound(from); it != job.active.end() && it->first < from + count; ++it) {
    const ActiveTask& task = it->second;
    const auto found = std::find(zones.begin(), zones.end(), task.zone);
    const auto zone = static_cast<std::size_t>(found - zones.begin());
    if (zone == zones.size()) zones.push_back(task.zone);
    groups[{task.machine, task.worker_epoch, zone, task.attempt}].add(it->first - from);
  }
  Json out = {{kFormat, c::kRecordFormat}, {kStride, job.tasks_per_record}, {kCount, count}};
  if (std::string text = done.text(); !text.empty()) out[kDone] = std::move(text);
  if (groups.empty()) return out;
  Json tasks = Json::array();
  for (auto& [group, ranges] : groups)
    tasks.push_back({group.machine, group.worker_epoch, group.zone, group.attempt, ranges.text()});
  out[kZones] = std::move(zones);
  out[kTasks] = std::move(tasks);
  return out;
}

DecodedTaskRecord decode_task_record_v1(const Json& value) {
  DecodedTaskRecord out;
  if (auto done = value.find(kDone); done != value.end() && done->is_array())
    for (const Json& range : *done) out.done.push_back({range.at(0).get<int>(), range.at(1).get<int>()});
  auto tasks = value.find(kTasks);
  if (tasks == value.end() || !tasks->is_object()) return out;
  for (const auto& [index, fields] : tasks->items()) {
    DecodedTaskRecord::Assignment assignment;
    assignment.task.attempt = fields.at(0);
    assignment.task.machine = fields.at(1);
    assignment.task.worker_epoch = fields.at(2);
    assignment.task.zone = fields.at(3);
    const int offset = std::stoi(index);
    assignment.ranges.push_back({offset, offset});
    out.assignments.push_back(std::move(assignment));
  }
  return out;
}

DecodedTaskRecord decode_task_record_v2(const Json& value) {
  DecodedTaskRecord out;
  out.done = parse_ranges(value.value(kDone, ""));
  const auto zones = value.value(kZones, std::vector<std::string>{});
  auto tasks = value.find(kTasks);
  if (tasks == value.end() || !tasks->is_array()) return out;
  for (const Json& group : *tasks) {
    DecodedTaskRecord::Assignment assignment;
    assignment.task.machine = group.at(0);
    assignment.task.worker_epoch = group.at(1);
    assignment.task.zone = zones.at(group.at(2));
    assignment.task.attempt = group.at(3);
    assignment.ranges = parse_ranges(group.at(4));
    out.assignments.push_back(std::move(assignment));
  }
  return out;
}

int task_record_format(const Json& value) { return value.value(kFormat, 0); }
int task_record_count(const Json& value) { return value.value(kCount, 0); }
int task_record_stride(const Json& value, int default_stride) { return value.value(kStride, default_stride); }

}  // namespace corkmux
