// Write-ahead records of tasks in the state store: which records to write when, and how to load them.
//
// Owns the records changed since they were stored, the format that records are written in, and the keys of
// records replaced by others. Uses the cluster state, where each job has the bounds and revisions of its
// records. It sends no requests to the state store and changes no assignment by itself: TaskLifecycle acts on
// stored records.
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

inline constexpr double kDeferrableWait = 1.0;  // s that task ends wait behind writes that launches need
inline constexpr int kTasksPerRecord = 256;     // before any split
/// bytes of the records of one batch, with kWriteOverhead for each; the state store's limit for a transaction
/// is 64 KiB, of which a condition on the leader's record takes a part.
inline constexpr std::size_t kBatchRecordBytes = 60 * 1024;
/// bytes of a record's key, its condition, and a condition on the end of its job.
inline constexpr std::size_t kWriteOverhead = 512;

}  // namespace constants

/// Result of loading a stored record.
enum class RecordLoadResult {
  Loaded,
  Garbage,  // obsolete: it has nothing that is still needed
  TooNew,   // written by a newer version
};

class TaskRecordStore {
 public:
  /// Launch: a launch waits for the write. Deferrable: see kDeferrableWait.
  enum class Urgency { Launch, Deferrable };

  explicit TaskRecordStore(ClusterState& state);

  /// Sets the format of all later writes. Every controller must be able to read it.
  void use_format(RecordFormat format) { format_ = format; }
  RecordFormat format() const { return format_; }

  /// Queues a write of the task's record. Returns the record's generation from which on it contains the
  /// task's present state.
  std::uint64_t mark_dirty(Job& job, int index, Urgency urgency, double now);
  /// Whether the task's record is stored with all its changes.
  bool is_persisted(Job& job, int index);

  /// Returns the next writes, `max_writes` and kBatchRecordBytes at most: first the records that launches
  /// wait for, then the deferrable ones, if the store writer has spare capacity or once they have waited for
  /// kDeferrableWait.
  std::vector<TaskRecordWrite> next_writes(int max_writes, bool has_spare_capacity, double now);
  /// Notes that the write is stored under `revision`. Returns the record, or nullptr if it no longer exists.
  const TaskRecord* mark_written(Job& job, const TaskRecordWrite& write, std::uint64_t revision, double now);
  /// Queues the batch again: none of its writes is known to be stored.
  void write_failed(const std::vector<TaskRecordWrite>& batch);
  /// Sets the revision of the stored record, which differs from the one assumed by the write.
  void set_revision(const TaskRecordWrite& write, std::uint64_t revision);
  /// Halves the maximum record size, after the state store refused a record as too large that was within the
  /// known limits.
  void halve_record_size();
  /// Keys of the job's stored records, for their removal.
  std::vector<std::string> keys(const Job& job) const;
  /// Returns and clears the keys of replaced records, which are to be removed.
  std::vector<std::string> take_replaced() { return std::exchange(replaced_, {}); }

  /// Loads a record. Call it for all V2 records in key order, then for the V1 records.
  RecordLoadResult load(const std::string& key, const nlohmann::json& value, std::uint64_t revision);
  /// Completes loading, after load() was called for all records.
  void finish_loading() { load_pending_v2(); }
  /// Marks a queued task as done because a record has it so.
  static void recover_done(Job& job, int index);

 private:
  /// Queue entry of a record to write.
  struct DirtyRecord {
    std::string job;
    int from = 0;
    double since = 0;
  };
  struct LoadedValue {
    nlohmann::json value;
    std::uint64_t revision = 0;
  };

  /// A record of a job, with its first task.
  struct RecordEntry {
    int from;
    TaskRecord& record;
  };
  RecordEntry record_containing(Job& job, int index);
  std::deque<DirtyRecord>& queue_of(const TaskRecord& record);
  /// A batch that is being filled.
  struct Batch {
    int max_writes = 0;
    std::vector<TaskRecordWrite> writes;
    std::size_t bytes = 0;
    bool full = false;  // no further write may be added

    bool has_room_for(std::size_t more_bytes) const {
      return writes.empty() || bytes + more_bytes <= constants::kBatchRecordBytes;
    }
    void add(TaskRecordWrite write, std::size_t write_bytes);
  };
  void take_writes(std::deque<DirtyRecord>& queue, double not_after, Batch& batch);
  static bool needs_write(const Job& job, const TaskRecord& record);
  static bool waits_for_split_off(const Job& job, TaskRecord& record);
  TaskRecordWrite encode(const Job& job, int from, const TaskRecord& record) const;
  static void split(Job& job, int from, TaskRecord& record);
  RecordLoadResult load_v1(const TaskRecordKey& key, const nlohmann::json& value, std::uint64_t revision);
  RecordLoadResult load_v2(const TaskRecordKey& key, const nlohmann::json& value, std::uint64_t revision);
  void load_pending_v2();
  /// Keeps the job from being scheduled, since a record of its tasks cannot be read.
  void hold(Job& job, const std::string& key);
  void recover(Job& job, int from, int count, const DecodedTaskRecord& record);
  void recover_active(Job& job, int index, ActiveTask task);

  ClusterState& state_;
  RecordFormat format_ = RecordFormat::V1;
  std::size_t record_limit_;  // bytes
  std::deque<DirtyRecord> urgent_;
  std::deque<DirtyRecord> deferrable_;
  std::vector<std::string> replaced_;
  // V2 records of the job being loaded, by first task. Each ends where the next one begins.
  std::string loading_job_;
  std::map<int, LoadedValue> loading_;
};

}  // namespace corkmux
