#include "task_record_store.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include "constants.h"
#include "time_constants.h"

namespace corkmux {
namespace c = constants;
using Json = nlohmann::json;

namespace {

std::uint64_t& revision_in(TaskRecord& record, RecordFormat format) {
  return format == RecordFormat::V2 ? record.revision : record.v1_revision;
}

TaskRecord* find_record(Job& job, int from) {
  auto found = job.task_records.find(from);
  return found == job.task_records.end() ? nullptr : &found->second;
}

std::size_t json_size(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

/// Whether the task may be recovered from a record: the job has it, and no record has changed its phase yet.
bool can_recover(const Job& job, int index) {
  return index >= 0 && index < job.spec.tasks &&
         job.phase[static_cast<std::size_t>(index)] == TaskPhase::Queued;
}

}  // namespace

TaskRecordStore::TaskRecordStore(ClusterState& state) : state_(state) {
  const SchedulerConfig& config = state.config();
  const double limit_kb = config.record_kb > 0 ? config.record_kb : config.value_kb;
  record_limit_ = static_cast<std::size_t>(limit_kb * 1024 * c::kRecordShare);
}

// ---------------------------------------------------------------- records and their changes

TaskRecordStore::RecordEntry TaskRecordStore::record_containing(Job& job, int index) {
  auto next = job.task_records.upper_bound(index);
  int earliest = 0;
  if (next != job.task_records.begin()) {
    auto& before = *std::prev(next);
    earliest = before.first + before.second.count;
    if (index < earliest) return {before.first, before.second};
  }
  if (!job.tasks_per_record)
    job.tasks_per_record =
        format_ == RecordFormat::V2 ? c::kTasksPerRecord : state_.config().tasks_per_v1_record();
  const int number = index / job.tasks_per_record;
  const int from = std::max(earliest, number * job.tasks_per_record);
  int end = std::min(job.spec.tasks, (number + 1) * job.tasks_per_record);
  if (next != job.task_records.end()) end = std::min(end, next->first);
  TaskRecord& added = job.task_records.try_emplace(next, from)->second;
  added.count = end - from;
  return {from, added};
}

std::deque<TaskRecordStore::DirtyRecord>& TaskRecordStore::queue_of(const TaskRecord& record) {
  return record.urgent_generation > record.persisted_generation ? urgent_ : deferrable_;
}

std::uint64_t TaskRecordStore::mark_dirty(Job& job, int index, Urgency urgency, double now) {
  auto [from, record] = record_containing(job, index);
  const bool queued = record.generation != record.persisted_generation || record.in_flight;
  ++record.generation;
  if (urgency == Urgency::Launch) {
    const bool first = record.urgent_generation <= record.persisted_generation;
    record.urgent_generation = record.generation;
    if (first && !record.in_flight) urgent_.push_back({job.spec.id, from, now});
  } else if (!queued) {
    deferrable_.push_back({job.spec.id, from, now});
  }
  return record.generation;
}

bool TaskRecordStore::is_persisted(Job& job, int index) {
  const TaskRecord& record = record_containing(job, index).record;
  return record.persisted_generation >= record.generation;
}

// The upper half becomes a separate record, which is stored first. Until then the stored record covers both
// halves; from then on it covers only the lower half.
void TaskRecordStore::split(Job& job, int from, TaskRecord& record) {
  const int lower = record.count / 2;
  ++record.generation;
  if (record.urgent_generation > record.persisted_generation) record.urgent_generation = record.generation;
  TaskRecord upper;
  upper.count = record.count - lower;
  upper.generation = record.generation;
  upper.urgent_generation = record.urgent_generation;
  record.count = lower;
  record.split_off = from + lower;
  job.task_records[from + lower] = upper;
}

void TaskRecordStore::halve_record_size() {
  record_limit_ = std::max<std::size_t>(c::kSmallestRecord, record_limit_ / 2);
}

// ---------------------------------------------------------------- writing

std::vector<TaskRecordWrite> TaskRecordStore::next_writes(int max_writes, bool has_spare_capacity,
                                                          double now) {
  Batch batch;
  batch.max_writes = max_writes;
  batch.full = max_writes <= 0;
  take_writes(urgent_, kNever, batch);
  take_writes(deferrable_, has_spare_capacity ? kNever : now - c::kDeferrableWait, batch);
  return std::move(batch.writes);
}

void TaskRecordStore::Batch::add(TaskRecordWrite write, std::size_t write_bytes) {
  writes.push_back(std::move(write));
  bytes += write_bytes;
  full = static_cast<int>(writes.size()) >= max_writes;
}

bool TaskRecordStore::needs_write(const Job& job, const TaskRecord& record) {
  if (record.in_flight || record.persisted_generation == record.generation) return false;
  // A job that has ended needs no more record writes: its end is stored instead.
  return !job.over() || !job.active.empty();
}

bool TaskRecordStore::waits_for_split_off(const Job& job, TaskRecord& record) {
  if (!record.split_off) return false;
  if (!job.task_records.at(*record.split_off).revision) return true;
  record.split_off.reset();
  return false;
}

TaskRecordWrite TaskRecordStore::encode(const Job& job, int from, const TaskRecord& record) const {
  TaskRecordWrite write;
  write.job = job.spec.id;
  write.from = from;
  write.format = format_;
  write.generation = record.generation;
  write.launches = record.urgent_generation > record.persisted_generation && !job.over();
  if (format_ == RecordFormat::V2) {
    write.value = encode_task_record_v2(job, from, record.count);
    write.key = task_record_key_v2(job.spec.id, from);
    write.revision = record.revision;
  } else {
    write.value = encode_task_record_v1(job, from, record.count);
    write.key = task_record_key_v1(job.spec.id, from / job.tasks_per_record);
    write.revision = record.v1_revision;
  }
  return write;
}

void TaskRecordStore::take_writes(std::deque<DirtyRecord>& queue, double not_after, Batch& batch) {
  std::deque<DirtyRecord> waiting;
  while (!queue.empty() && !batch.full && queue.front().since <= not_after) {
    DirtyRecord entry = std::move(queue.front());
    queue.pop_front();
    Job* job = state_.job(entry.job);
    if (!job || job->finalizing) continue;
    TaskRecord* record = find_record(*job, entry.from);
    if (!record || !needs_write(*job, *record)) continue;
    if (waits_for_split_off(*job, *record)) {
      waiting.push_back(std::move(entry));
      continue;
    }
    TaskRecordWrite write = encode(*job, entry.from, *record);
    const bool can_split = format_ == RecordFormat::V2 && record->count > 1;
    const std::size_t size = json_size(write.value);
    if (can_split && size > record_limit_) {
      split(*job, entry.from, *record);
      queue.push_front(entry);
      queue.push_front({entry.job, *record->split_off, entry.since});
      continue;
    }
    if (!batch.has_room_for(size + c::kWriteOverhead)) {
      queue.push_front(std::move(entry));
      batch.full = true;
      continue;
    }
    record->in_flight = true;
    batch.add(std::move(write), size + c::kWriteOverhead);
  }
  queue.insert(queue.begin(), std::make_move_iterator(waiting.begin()),
               std::make_move_iterator(waiting.end()));
}

const TaskRecord* TaskRecordStore::mark_written(Job& job, const TaskRecordWrite& write,
                                                std::uint64_t revision, double now) {
  TaskRecord* record = find_record(job, write.from);
  if (!record) return nullptr;
  record->in_flight = false;
  revision_in(*record, write.format) = revision;
  record->persisted_generation = write.generation;
  if (write.format == RecordFormat::V2 && record->v1_revision) {
    replaced_.push_back(task_record_key_v1(write.job, write.from / job.tasks_per_record));
    record->v1_revision = 0;
  }
  if (record->generation != record->persisted_generation)
    queue_of(*record).push_back({write.job, write.from, now});
  return record;
}

void TaskRecordStore::write_failed(const std::vector<TaskRecordWrite>& batch) {
  for (const TaskRecordWrite& write : batch) {
    Job* job = state_.job(write.job);
    TaskRecord* record = job ? find_record(*job, write.from) : nullptr;
    if (!record) continue;
    record->in_flight = false;
    queue_of(*record).push_front({write.job, write.from, 0});
  }
}

void TaskRecordStore::set_revision(const TaskRecordWrite& write, std::uint64_t revision) {
  Job* job = state_.job(write.job);
  TaskRecord* record = job ? find_record(*job, write.from) : nullptr;
  if (record) revision_in(*record, write.format) = revision;
}

std::vector<std::string> TaskRecordStore::keys(const Job& job) const {
  std::vector<std::string> out;
  for (const auto& [from, record] : job.task_records) {
    if (record.revision) out.push_back(task_record_key_v2(job.spec.id, from));
    if (record.v1_revision) out.push_back(task_record_key_v1(job.spec.id, from / job.tasks_per_record));
  }
  return out;
}

// ---------------------------------------------------------------- loading

RecordLoadResult TaskRecordStore::load(const std::string& key, const Json& value, std::uint64_t revision) {
  const std::optional<TaskRecordKey> parsed = parse_task_record_key(key);
  if (!parsed) return RecordLoadResult::Garbage;
  return parsed->format == RecordFormat::V2 ? load_v2(*parsed, value, revision)
                                            : load_v1(*parsed, value, revision);
}

RecordLoadResult TaskRecordStore::load_v2(const TaskRecordKey& key, const Json& value,
                                          std::uint64_t revision) {
  // A stored V2 record shows that every controller reads V2: none that reads only V1 is left, if there ever
  // was one.
  use_format(RecordFormat::V2);
  const std::optional<int> format = task_record_format(value);
  if (format && *format > c::kRecordFormat) return RecordLoadResult::TooNew;
  if (key.job != loading_job_) load_pending_v2();
  if (!state_.job(key.job)) return RecordLoadResult::Garbage;
  loading_job_ = key.job;
  loading_[key.number] = {value, revision};
  return RecordLoadResult::Loaded;
}

// A record covers its tasks up to the first task of the job's next record, see split().
void TaskRecordStore::load_pending_v2() {
  Job* job = state_.job(loading_job_);
  for (auto it = loading_.begin(); job && it != loading_.end(); ++it) {
    const auto& [from, loaded] = *it;
    int end = std::min(job->spec.tasks, from + task_record_count(loaded.value));
    if (auto next = std::next(it); next != loading_.end()) end = std::min(end, next->first);
    const std::optional<DecodedTaskRecord> decoded = decode_task_record_v2(loaded.value);
    if (!decoded || !task_record_format(loaded.value)) {
      hold(*job, task_record_key_v2(job->spec.id, from));
      continue;
    }
    if (end <= from) continue;
    job->tasks_per_record = std::max(1, task_record_stride(loaded.value, job->tasks_per_record));
    TaskRecord& record = job->task_records[from];
    record.count = end - from;
    record.revision = loaded.revision;
    recover(*job, from, record.count, *decoded);
  }
  loading_.clear();
  loading_job_.clear();
}

RecordLoadResult TaskRecordStore::load_v1(const TaskRecordKey& key, const Json& value,
                                          std::uint64_t revision) {
  load_pending_v2();
  Job* job = state_.job(key.job);
  if (!job || key.number < 0) return RecordLoadResult::Garbage;
  if (!job->tasks_per_record) job->tasks_per_record = state_.config().tasks_per_v1_record();
  if (key.number > job->spec.tasks / job->tasks_per_record) return RecordLoadResult::Garbage;
  const int base = key.number * job->tasks_per_record;
  if (base >= job->spec.tasks) return RecordLoadResult::Garbage;
  auto [from, record] = record_containing(*job, base);
  if (from != base || record.revision) return RecordLoadResult::Garbage;
  record.v1_revision = revision;
  if (const auto decoded = decode_task_record_v1(value))
    recover(*job, base, record.count, *decoded);
  else
    hold(*job, task_record_key_v1(key.job, key.number));
  return RecordLoadResult::Loaded;
}

// Guards against a second start of tasks that the record would name: the job is not scheduled, and what its
// machines still report of it is stopped.
void TaskRecordStore::hold(Job& job, const std::string& key) {
  job.not_before = kNever;
  job.why = "waiting: its stored record cannot be read";
  state_.note("record " + key + " cannot be read: no task of job " + job.spec.id + " is started");
}

void TaskRecordStore::recover(Job& job, int from, int count, const DecodedTaskRecord& record) {
  for (const TaskRange& range : record.done)
    for (int i = range.first; i <= range.last && i < count; ++i) recover_done(job, from + i);
  for (const auto& assignment : record.assignments)
    for (const TaskRange& range : assignment.ranges)
      for (int i = range.first; i <= range.last && i < count; ++i)
        recover_active(job, from + i, assignment.task);
}

void TaskRecordStore::recover_done(Job& job, int index) {
  if (!can_recover(job, index)) return;
  job.phase[static_cast<std::size_t>(index)] = TaskPhase::Done;
  --job.queued;
  ++job.done;
}

void TaskRecordStore::recover_active(Job& job, int index, ActiveTask task) {
  if (!can_recover(job, index)) return;
  const double now = state_.started_at();
  task.stage = ActiveTask::Stage::Recovered;
  task.since = now;
  task.reservation_expires_at = now + c::kReservationTimeout * 4;
  Machine& machine = state_.add_machine(task.machine, now).machine;
  // Guards against a second start: a launch of the former leader may still arrive, so only a heartbeat that
  // carries this leader's token can prove that the task is absent.
  task.minimum_token = machine.worker.required_token;
  state_.occupy(job, index, std::move(task), machine);
  if (job.cancelled) state_.request_stop(job, index, 0);
}

}  // namespace corkmux
