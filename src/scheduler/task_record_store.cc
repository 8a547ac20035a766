// The book's task records in the state service: their two forms, what is written when, and what follows once
// it is stored.
//
// First form, s/<job>/<n>: what version 0.1 reads. It does not say how many tasks it covers; that follows
// from the settings. Second form, t/<job>/<first task>: names its form and how many tasks it covers, up to
// the next record of the job. Where both speak of a task the second form holds, so old records need no
// rewriting: a shard's next write goes to the second form, and the old record is removed behind it.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>

#include "constants.h"
#include "scheduler.h"
#include "scheduler_constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;
using Json = nlohmann::json;

namespace {

/// Runs of whole numbers as text, "0-3,7".
class Runs {
 public:
  void add(int i) {
    if (last_ + 1 == i && first_ >= 0) {
      last_ = i;
      return;
    }
    flush();
    first_ = last_ = i;
  }
  std::string text() {
    flush();
    return std::move(text_);
  }
  static std::vector<std::pair<int, int>> parse(const std::string& text) {
    std::vector<std::pair<int, int>> out;
    const char *p = text.data(), *end = p + text.size();
    while (p < end) {
      int a = 0, b = 0;
      auto r = std::from_chars(p, end, a);
      if (r.ec != std::errc()) break;
      b = a;
      if (r.ptr < end && *r.ptr == '-') r = std::from_chars(r.ptr + 1, end, b);
      out.push_back({a, b});
      p = r.ptr + 1;
    }
    return out;
  }

 private:
  void flush() {
    if (first_ < 0) return;
    if (!text_.empty()) text_ += ',';
    text_ += std::to_string(first_);
    if (last_ > first_) text_ += '-' + std::to_string(last_);
    first_ = -1;
  }
  std::string text_;
  int first_ = -1, last_ = -2;
};

std::string first_key(const std::string& job, int n) {
  return kTaskRecordsV1 + job + "/" + std::to_string(n);
}
// Padded, so that a job's records are listed in the order of their tasks.
std::string second_key(const std::string& job, int from) {
  return fmt::format("{}{}/{:06}", kTaskRecordsV2, job, from);
}

}  // namespace

// ---------------------------------------------------------------- shards

std::pair<const int, TaskRecord>& Scheduler::record_of(Job& job, int index) {
  auto next = job.task_records.upper_bound(index);
  int floor = 0;
  if (next != job.task_records.begin()) {
    auto& before = *std::prev(next);
    floor = before.first + before.second.count;
    if (index < floor) return before;
  }
  if (!job.tasks_per_record)
    job.tasks_per_record = uses_v2_records_ ? c::kTasksPerRecord : state_.config().tasks_per_v1_record();
  int from = std::max(floor, index / job.tasks_per_record * job.tasks_per_record);
  int end = std::min(job.spec.tasks, (index / job.tasks_per_record + 1) * job.tasks_per_record);
  if (next != job.task_records.end()) end = std::min(end, next->first);
  auto& made = *job.task_records.try_emplace(next, from);
  made.second.count = end - from;
  return made;
}

void Scheduler::mark_dirty(Job& job, int index, Urgency urgency, double now) {
  auto& [from, s] = record_of(job, index);
  bool known = s.generation != s.persisted_generation || s.in_flight;
  bool urgent = urgency == Urgency::Launch;
  ++s.generation;
  if (urgent) {
    bool first = s.urgent_generation <= s.persisted_generation;
    s.urgent_generation = s.generation;
    if (first && !s.in_flight) urgent_.push_back({job.spec.id, from, now});
  } else if (!known) {
    rest_.push_back({job.spec.id, from, now});
  }
}

/// The upper half becomes a record of its own. It is stored first: until then the stored record of both
/// halves speaks for it, from then on only for what lies below.
void Scheduler::split(Job& job, int from, TaskRecord& s) {
  int lower = s.count / 2;
  ++s.generation;
  if (s.urgent_generation > s.persisted_generation) s.urgent_generation = s.generation;
  TaskRecord upper;
  upper.count = s.count - lower;
  upper.generation = s.generation;
  upper.urgent_generation = s.urgent_generation;
  s.count = lower;
  s.split_off = from + lower;
  job.task_records[from + lower] = upper;
}

void Scheduler::records_refused() {
  record_room_ = std::max<std::size_t>(c::kSmallestRecord, record_room_ / 2);
}

// ---------------------------------------------------------------- writing

Json Scheduler::first_format(const Job& job, int from, int count) const {
  Json done = Json::array(), tasks = Json::object();
  int run = -1;
  for (int i = 0; i <= count; ++i) {
    bool is_done = i < count && job.phase[static_cast<std::size_t>(from + i)] == TaskPhase::Done;
    if (is_done && run < 0) run = i;
    if (!is_done && run >= 0) {
      done.push_back({run, i - 1});
      run = -1;
    }
  }
  for (auto it = job.active.lower_bound(from); it != job.active.end() && it->first < from + count; ++it)
    tasks[std::to_string(it->first - from)] = {it->second.attempt, it->second.machine,
                                               it->second.worker_epoch, it->second.zone};
  return {{"d", std::move(done)}, {"t", std::move(tasks)}};
}

/// Tasks of one attempt on one machine stand together, so the size goes with the machines, not the tasks.
Json Scheduler::uses_v2_records(const Job& job, int from, int count) const {
  Runs done;
  for (int i = 0; i < count; ++i)
    if (job.phase[static_cast<std::size_t>(from + i)] == TaskPhase::Done) done.add(i);
  std::vector<std::string> zones;
  std::map<std::tuple<std::string, std::uint64_t, std::size_t, std::uint64_t>, Runs> groups;
  for (auto it = job.active.lower_bound(from); it != job.active.end() && it->first < from + count; ++it) {
    const ActiveTask& a = it->second;
    auto z = static_cast<std::size_t>(std::find(zones.begin(), zones.end(), a.zone) - zones.begin());
    if (z == zones.size()) zones.push_back(a.zone);
    groups[{a.machine, a.worker_epoch, z, a.attempt}].add(it->first - from);
  }
  Json out = {{"f", c::kRecordFormat}, {"c", job.tasks_per_record}, {"n", count}};
  if (auto text = done.text(); !text.empty()) out["d"] = std::move(text);
  if (groups.empty()) return out;
  Json tasks = Json::array();
  for (auto& [g, runs] : groups)
    tasks.push_back({std::get<0>(g), std::get<1>(g), std::get<2>(g), std::get<3>(g), runs.text()});
  out["z"] = std::move(zones);
  out["t"] = std::move(tasks);
  return out;
}

std::vector<TaskRecordWrite> Scheduler::next_writes(int most, bool spare, double now) {
  std::vector<TaskRecordWrite> out;
  auto take = [&](std::deque<Dirty>& queue, double not_after) {
    std::deque<Dirty> keep;
    while (!queue.empty() && static_cast<int>(out.size()) < most && queue.front().since <= not_after) {
      Dirty entry = std::move(queue.front());
      queue.pop_front();
      Job* job = state_.job(entry.job);
      if (!job || job->finalizing) continue;
      auto found = job->task_records.find(entry.from);
      if (found == job->task_records.end()) continue;
      TaskRecord& s = found->second;
      if (s.in_flight || s.persisted_generation == s.generation) continue;
      // A job that is over needs no more shards: its end is stored instead.
      if (job->over() && job->active.empty()) continue;
      if (s.split_off) {
        if (!job->task_records.at(*s.split_off).revision) {
          keep.push_back(std::move(entry));
          continue;
        }
        s.split_off.reset();
      }
      TaskRecordWrite w{entry.job, "", entry.from, uses_v2_records_, 0, 0, false, {}};
      w.launches = s.urgent_generation > s.persisted_generation && !job->over();
      if (uses_v2_records_) {
        w.value = uses_v2_records(*job, entry.from, s.count);
        if (s.count > 1 && w.value.dump().size() > record_room_) {
          split(*job, entry.from, s);
          queue.push_front(entry);
          queue.push_front({entry.job, *s.split_off, entry.since});
          continue;
        }
        w.key = second_key(entry.job, entry.from);
        w.revision = s.revision;
      } else {
        w.value = first_format(*job, entry.from, s.count);
        w.key = first_key(entry.job, entry.from / job->tasks_per_record);
        w.revision = s.v1_revision;
      }
      w.generation = s.generation;
      s.in_flight = true;
      out.push_back(std::move(w));
    }
    queue.insert(queue.begin(), std::make_move_iterator(keep.begin()), std::make_move_iterator(keep.end()));
  };
  take(urgent_, kNever);
  take(rest_, spare ? kNever : now - c::kRestWait);
  return out;
}

void Scheduler::written(const std::vector<TaskRecordWrite>& batch, std::uint64_t revision, double now) {
  for (const auto& w : batch) {
    Job* job = state_.job(w.job);
    if (!job) continue;
    auto found = job->task_records.find(w.from);
    if (found == job->task_records.end()) continue;
    TaskRecord& s = found->second;
    s.in_flight = false;
    (w.uses_v2_records ? s.revision : s.v1_revision) = revision;
    s.persisted_generation = w.generation;
    if (w.uses_v2_records && s.v1_revision) {
      replaced_.push_back(first_key(w.job, w.from / job->tasks_per_record));
      s.v1_revision = 0;
    }
    if (s.generation != s.persisted_generation) queue_of(s).push_back({w.job, w.from, now});
    std::vector<int> lost;
    for (auto it = job->active.lower_bound(w.from); it != job->active.end() && it->first < w.from + s.count;
         ++it) {
      ActiveTask& a = it->second;
      if (a.stage != Stage::Assigned || a.generation > w.generation) continue;
      Machine* m = state_.machine(a.machine);
      if (!m || m->decommissioning || a.worker_epoch != m->worker_epoch || a.stop)
        lost.push_back(it->first);
      else {
        if (std::find(m->outbox.begin(), m->outbox.end(), TaskId{w.job, it->first}) == m->outbox.end())
          m->outbox.push_back({w.job, it->first});
        state_.mark_for_dispatch(m->name);
      }
    }
    for (int index : lost) unassign(*job, index, now);
    if (!lost.empty() && job->spec.kind == JobKind::Gang) abort_gang(*job, now);
  }
}

void Scheduler::write_failed(const std::vector<TaskRecordWrite>& batch) {
  for (const auto& w : batch)
    if (Job* job = state_.job(w.job)) {
      auto found = job->task_records.find(w.from);
      if (found == job->task_records.end()) continue;
      TaskRecord& s = found->second;
      s.in_flight = false;
      queue_of(s).push_front({w.job, w.from, 0});
    }
}

void Scheduler::set_record_revision(const TaskRecordWrite& w, std::uint64_t revision) {
  Job* job = state_.job(w.job);
  if (!job) return;
  if (auto found = job->task_records.find(w.from); found != job->task_records.end())
    (w.uses_v2_records ? found->second.revision : found->second.v1_revision) = revision;
}

std::vector<std::string> Scheduler::record_keys(const Job& job) const {
  std::vector<std::string> out;
  for (const auto& [from, s] : job.task_records) {
    if (s.revision) out.push_back(second_key(job.spec.id, from));
    if (s.v1_revision) out.push_back(first_key(job.spec.id, from / job.tasks_per_record));
  }
  return out;
}

std::vector<std::string> Scheduler::finished_jobs() const {
  // In the order in which they came. Guards against an end that is last again and again while changes are
  // few.
  std::vector<std::pair<std::uint64_t, std::string>> found;
  for (const auto& [id, order] : ending_) {
    auto it = state_.jobs().find(id);
    if (it == state_.jobs().end()) continue;
    const Job& job = it->second;
    if (job.finalizing || !job.active.empty() || !job.over()) continue;
    bool in_flight = false;
    for (const auto& [n, s] : job.task_records) in_flight |= s.in_flight;
    if (!in_flight) found.emplace_back(order, id);
  }
  std::sort(found.begin(), found.end());
  std::vector<std::string> out;
  for (auto& [order, id] : found) out.push_back(std::move(id));
  return out;
}

// ---------------------------------------------------------------- loading

void Scheduler::load_done(Job& job, int index) {
  if (index < 0 || index >= job.spec.tasks || job.phase[static_cast<std::size_t>(index)] != TaskPhase::Queued)
    return;
  job.phase[static_cast<std::size_t>(index)] = TaskPhase::Done;
  --job.queued;
  ++job.done;
}

void Scheduler::load_task(Job& job, int index, ActiveTask a) {
  if (index < 0 || index >= job.spec.tasks || job.phase[static_cast<std::size_t>(index)] != TaskPhase::Queued)
    return;
  a.stage = Stage::Recovered;
  a.since = state_.started_at();
  a.reservation_expires_at = state_.started_at() + c::kReservationTimeout * 4;
  Machine& m = state_.add_machine(a.machine, state_.started_at()).first;
  // Guards against a second start: a launch of the former leader may still arrive, so only a heartbeat that
  // already carries our token can show that the task is absent.
  a.minimum_token = m.fencing_token;
  state_.occupy(job, index, std::move(a), m);
  if (job.cancelled) state_.request_stop(job, index, 0);
}

void Scheduler::load_second(Job& job, int from, int count, const Json& value, std::uint64_t revision) {
  job.tasks_per_record = std::max(1, value.value("c", job.tasks_per_record));
  TaskRecord& s = job.task_records[from];
  s.count = count;
  s.revision = revision;
  auto each = [&](const std::string& runs, auto fn) {
    for (auto [a, b] : Runs::parse(runs))
      for (int i = a; i <= b && i < count; ++i) fn(from + i);
  };
  each(value.value("d", ""), [&](int i) { load_done(job, i); });
  auto zones = value.value("z", std::vector<std::string>{});
  if (auto t = value.find("t"); t != value.end() && t->is_array())
    for (const auto& group : *t) {
      ActiveTask a;
      a.machine = group.at(0);
      a.worker_epoch = group.at(1);
      a.zone = zones.at(group.at(2));
      a.attempt = group.at(3);
      each(group.at(4), [&](int i) { load_task(job, i, a); });
    }
}

/// A record speaks for its tasks up to where the job's next one begins: see split().
void Scheduler::flush_loading() {
  Job* job = state_.job(loading_job_);
  for (auto it = loading_.begin(); job && it != loading_.end(); ++it) {
    int end = std::min(job->spec.tasks, it->first + it->second.first.value("n", 0));
    if (auto next = std::next(it); next != loading_.end()) end = std::min(end, next->first);
    if (end > it->first) load_second(*job, it->first, end - it->first, it->second.first, it->second.second);
  }
  loading_.clear();
  loading_job_.clear();
}

Scheduler::Loaded Scheduler::load_record(const std::string& key, const Json& value, std::uint64_t revision) {
  bool second = key.compare(0, kTaskRecordsV2.size(), kTaskRecordsV2) == 0;
  auto slash = key.rfind('/');
  auto start = second ? kTaskRecordsV2.size() : kTaskRecordsV1.size();
  if (slash == std::string::npos || slash < start) return Loaded::Garbage;
  std::string id = key.substr(start, slash - start);
  int n = std::atoi(key.c_str() + slash + 1);
  if (second) {
    // Only controllers that read the second form are left, or there were none.
    use_v2_records();
    if (value.value("f", 0) > c::kRecordFormat) return Loaded::Unknown;
    if (id != loading_job_) flush_loading();
    if (!state_.job(id)) return Loaded::Garbage;
    loading_job_ = id;
    loading_[n] = {value, revision};
    return Loaded::Yes;
  }
  flush_loading();
  Job* job = state_.job(id);
  if (!job || n < 0) return Loaded::Garbage;
  if (!job->tasks_per_record) job->tasks_per_record = state_.config().tasks_per_v1_record();
  int base = n * job->tasks_per_record;
  if (base >= job->spec.tasks) return Loaded::Garbage;
  auto& [from, s] = record_of(*job, base);
  if (from != base || s.revision) return Loaded::Garbage;
  s.v1_revision = revision;
  int end = base + s.count;
  if (auto d = value.find("d"); d != value.end() && d->is_array())
    for (const auto& range : *d)
      for (int i = range.at(0); i <= range.at(1).get<int>() && base + i < end; ++i) load_done(*job, base + i);
  if (auto t = value.find("t"); t != value.end() && t->is_object())
    for (const auto& [i, record] : t->items()) {
      int index = base + std::stoi(i);
      if (index >= end) continue;
      ActiveTask a;
      a.attempt = record.at(0);
      a.machine = record.at(1);
      a.worker_epoch = record.at(2);
      a.zone = record.at(3);
      load_task(*job, index, std::move(a));
    }
  return Loaded::Yes;
}

void Scheduler::loaded() {
  flush_loading();
  for (auto& [id, job] : state_.jobs()) {
    for (int i = 0; job.gang_completed() && i < job.spec.tasks; ++i) load_done(job, i);
    state_.reindex(job);
    if (job.over()) ends(id);
    // A task that was ever assigned is proof that all the job awaits was done; the moment is not known.
    if (job.task_records.empty()) continue;
    for (const auto& awaited : std::unordered_set<std::string>(job.unmet_dependencies))
      met(job, awaited, job.accepted_at);
  }
}

}  // namespace corkmux
