// Keys and formats of stored task records.
//
// V1, s/<job>/<n>: the format that version 0.1 reads. It does not contain the number of tasks it covers; the
// number follows from the settings. V2, t/<job>/<first task>: contains its format and the number of tasks it
// covers, which ends at the job's next record. Where records of both formats cover a task, V2 takes
// precedence, so old records need no migration: the next write of a record is in V2, and the old record is
// removed after that write. All functions are pure.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "job.h"
#include "task_record.h"

namespace corkmux {

std::string task_record_key_v1(const std::string& job, int number);
/// The keys of a job's records sort by first task.
std::string task_record_key_v2(const std::string& job, int from);

struct TaskRecordKey {
  RecordFormat format = RecordFormat::V2;
  std::string job;
  int number = 0;  // V1: index of the record; V2: index of its first task
};
/// Returns nullopt if `key` is not the key of a task record.
std::optional<TaskRecordKey> parse_task_record_key(const std::string& key);

/// Encodes the record of `count` tasks of the job, from task `from` on.
nlohmann::json encode_task_record_v1(const Job& job, int from, int count);
nlohmann::json encode_task_record_v2(const Job& job, int from, int count);

/// A range of tasks, both ends included, relative to the record's first task.
struct TaskRange {
  int first = 0;
  int last = 0;
};

struct DecodedTaskRecord {
  struct Assignment {
    ActiveTask task;
    std::vector<TaskRange> ranges;  // the tasks with this assignment
  };
  std::vector<TaskRange> done;
  std::vector<Assignment> assignments;
};
/// The decoders return nullopt if any part of the value is malformed.
std::optional<DecodedTaskRecord> decode_task_record_v1(const nlohmann::json& value);
std::optional<DecodedTaskRecord> decode_task_record_v2(const nlohmann::json& value);

/// Header fields of a V2 record. Nullopt or 0 if missing or malformed.
std::optional<int> task_record_format(const nlohmann::json& value);
int task_record_count(const nlohmann::json& value);
/// Number of tasks in a record of its job before any split; `default_stride` if the field is missing.
int task_record_stride(const nlohmann::json& value, int default_stride);

}  // namespace corkmux
