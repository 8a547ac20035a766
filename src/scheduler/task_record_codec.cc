#include "task_record_codec.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <string_view>

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

constexpr int kMaxIndex = 1'000'000;  // above the protocol's tasks of a job; sums of two still fit an int

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

bool is_valid(const TaskRange& range) { return range.first >= 0 && range.last >= range.first; }

/// Parses the text form of ranges; nullopt if it is malformed.
std::optional<std::vector<TaskRange>> parse_ranges(const std::string& text) {
  std::vector<TaskRange> out;
  const char* position = text.data();
  const char* const end = position + text.size();
  while (position < end) {
    TaskRange range;
    auto parsed = std::from_chars(position, end, range.first);
    range.last = range.first;
    if (parsed.ec == std::errc() && parsed.ptr < end && *parsed.ptr == '-')
      parsed = std::from_chars(parsed.ptr + 1, end, range.last);
    const bool ended = parsed.ptr == end || *parsed.ptr == ',';
    if (parsed.ec != std::errc() || !ended || !is_valid(range)) return std::nullopt;
    out.push_back(range);
    position = parsed.ptr + 1;
  }
  return out;
}

/// Parses a number that is not negative and consists of the whole text; nullopt for any other text.
std::optional<int> parse_index(std::string_view text) {
  int index = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, index);
  if (parsed.ec != std::errc() || parsed.ptr != end || index < 0) return std::nullopt;
  return index;
}

/// A whole number of the record from 0 to `most`; nullopt for any other value.
std::optional<int> small_number(const Json& value, int most) {
  if (!value.is_number_integer() || value < 0 || value > most) return std::nullopt;
  return value.get<int>();
}

std::optional<int> small_field(const Json& record, const char* name, int most) {
  if (!record.is_object()) return std::nullopt;
  const auto found = record.find(name);
  return found == record.end() ? std::nullopt : small_number(*found, most);
}

/// Sets the fields that both formats have; false if one of them is malformed.
bool read_assignment(const Json& attempt, const Json& machine, const Json& worker_epoch, const Json& zone,
                     ActiveTask& task) {
  const auto is_count = [](const Json& number) { return number.is_number_integer() && number >= 0; };
  if (!is_count(attempt) || !machine.is_string() || !is_count(worker_epoch) || !zone.is_string())
    return false;
  task.attempt = attempt.get<std::uint64_t>();
  task.machine = machine.get<std::string>();
  task.worker_epoch = worker_epoch.get<std::uint64_t>();
  task.zone = zone.get<std::string>();
  return !task.machine.empty();
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
  const std::optional<int> number = parse_index(std::string_view(key).substr(slash + 1));
  if (!number) return std::nullopt;
  out.number = *number;
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

std::optional<DecodedTaskRecord> decode_task_record_v1(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  DecodedTaskRecord out;
  for (const Json& range : value.value(kDone, Json::array())) {
    if (!range.is_array() || range.size() != 2) return std::nullopt;
    const auto first = small_number(range[0], kMaxIndex);
    const auto last = small_number(range[1], kMaxIndex);
    if (!first || !last || !is_valid({*first, *last})) return std::nullopt;
    out.done.push_back({*first, *last});
  }
  const Json tasks = value.value(kTasks, Json::object());
  if (!tasks.is_object()) return std::nullopt;
  for (const auto& [index, fields] : tasks.items()) {
    DecodedTaskRecord::Assignment assignment;
    const auto offset = parse_index(index);
    if (!offset || !fields.is_array() || fields.size() < 4 ||
        !read_assignment(fields[0], fields[1], fields[2], fields[3], assignment.task))
      return std::nullopt;
    assignment.ranges.push_back({*offset, *offset});
    out.assignments.push_back(std::move(assignment));
  }
  return out;
}

std::optional<DecodedTaskRecord> decode_task_record_v2(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  const Json done = value.value(kDone, Json(""));
  const Json zones = value.value(kZones, Json::array());
  const Json tasks = value.value(kTasks, Json::array());
  if (!done.is_string() || !zones.is_array() || !tasks.is_array()) return std::nullopt;
  auto done_ranges = parse_ranges(done.get<std::string>());
  if (!done_ranges) return std::nullopt;
  DecodedTaskRecord out;
  out.done = std::move(*done_ranges);
  for (const Json& group : tasks) {
    DecodedTaskRecord::Assignment assignment;
    if (!group.is_array() || group.size() < 5 || !group[4].is_string()) return std::nullopt;
    const auto zone = small_number(group[2], kMaxIndex);
    if (!zone || static_cast<std::size_t>(*zone) >= zones.size() ||
        !read_assignment(group[3], group[0], group[1], zones[static_cast<std::size_t>(*zone)],
                         assignment.task))
      return std::nullopt;
    auto ranges = parse_ranges(group[4].get<std::string>());
    if (!ranges) return std::nullopt;
    assignment.ranges = std::move(*ranges);
    out.assignments.push_back(std::move(assignment));
  }
  return out;
}

std::optional<int> task_record_format(const Json& value) { return small_field(value, kFormat, kMaxIndex); }
int task_record_count(const Json& value) { return small_field(value, kCount, kMaxIndex).value_or(0); }
int task_record_stride(const Json& value, int default_stride) {
  return small_field(value, kStride, kMaxIndex).value_or(default_stride);
}

}  // namespace corkmux
