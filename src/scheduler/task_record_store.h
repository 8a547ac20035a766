// Write-ahead records of tasks in the state service: what is to be written when, and loading them.
//
// Owns which records have changed since they were stored, the format they are written in, and records that
// others have replaced. It needs the cluster's state, where each job keeps its records' bounds and revisions.
// It never talks to the state service, and never moves a task of its own accord: what follows from a record's
// being stored is TaskLifecycle's.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cluster_state.h"
#include "task_record.h"
#include "task_record_codec.h"

namespace corkmux {
namespace constants {

inline constexpr double kRestWait = 1.0;     // s that ends of tasks wait for writes that launches need
inline constexpr int kTasksPerRecord = 256;  // before any split

}  // namespace constants

/// What became of a stored record that was given to load.
enum class RecordLoad {
  Yes,      // loaded
  Garbage,  // it says nothing any more
  Unknown,  // a newer version wrote it
};

class TaskRecordStore {
 public:
  enum class Urgency { Launch, Rest };

  explicit TaskRecordStore(ClusterState& state);

  /// From now on records are written in this format: every controller reads it.
  void use_format(RecordFormat format) { format_ = format; }
  RecordFormat format() const { return format_; }

  /// The task's record has to be written. Returns its generation from which on that is stored.
  std::uint64_t mark_dirty(Job& job, int index, Urgency urgency, double now);
  /// Whether everything that was said of the task is stored.
  bool is_persisted(Job& job, int index);

  /// What launches wait for comes first; the rest is written while there are changes to spare, or once it has
  /// waited for a while.
  std::vector<TaskRecordWrite> next_writes(int most, bool spare, double now);
  /// The write is stored under that revision. Returns the record; none if it is no longer there.
  const TaskRecord* written(Job& job, const TaskRecordWrite& write, std::uint64_t revision, double now);
  /// None of the writes is known to be stored.
  void write_failed(const std::vector<TaskRecordWrite>& batch);
  /// The stored record has another revision than was thought.
  void set_revision(const TaskRecordWrite& write, std::uint64_t revision);
  /// A record was refused as too large although it kept to the limits that we know of.
  void halve_record_size();
  /// The keys of a job's records, for their removal.
  std::vector<std::string> keys(const Job& job) const;
  /// Records that others have replaced, to be removed.
  std::vector<std::string> take_replaced() { return std::exchange(replaced_, {}); }

  /// Loads a record; those in format V2 in key order and before those in V1.
  RecordLoad load(const std::string& key, const nlohmann::json& value, std::uint64_t revision);
  /// All records have been given.
  void finish_loading() { load_pending_v2(); }
  /// The queued task is done, as a record says.
  static void recover_done(Job& job, int index);

 private:
  /// A record to write.
  struct DirtyRecord {
    std::string job;
    int from = 0;
    double since = 0;
  };
  struct LoadedValue {
    nlohmann::json value;
    std::uint64_t revision = 0;
  };

  /// A record in its job, with the task that it begins with.
  struct RecordEntry {
    int from;
    TaskRecord& record;
  };
  RecordEntry record_of(Job& job, int index);
  std::deque<DirtyRecord>& queue_of(const TaskRecord& record);
  void take_writes(std::deque<DirtyRecord>& queue, double not_after, int most,
                   std::vector<TaskRecordWrite>& out);
  static bool needs_write(const Job& job, const TaskRecord& record);
  static bool waits_for_split_off(const Job& job, TaskRecord& record);
  TaskRecordWrite encode(const Job& job, int from, const TaskRecord& record) const;
  static void split(Job& job, int from, TaskRecord& record);
  RecordLoad load_v1(const TaskRecordKey& key, const nlohmann::json& value, std::uint64_t revision);
  RecordLoad load_v2(const TaskRecordKey& key, const nlohmann::json& value, std::uint64_t revision);
  void load_pending_v2();
  void recover(Job& job, int from, int count, const DecodedTaskRecord& record);
  void recover_active(Job& job, int index, ActiveTask task);

  ClusterState& state_;
  RecordFormat format_ = RecordFormat::V1;
  std::size_t record_limit_;  // bytes
  std::deque<DirtyRecord> urgent_;
  std::deque<DirtyRecord> rest_;
  std::vector<std::string> replaced_;
  // Records in format V2 of one job, by first task: each ends where the next begins.
  std::string loading_job_;
  std::map<int, LoadedValue> loading_;
};

}  // namespace corkmux
