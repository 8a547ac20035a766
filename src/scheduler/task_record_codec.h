// Keys and formats of stored task records.
//
// V1, s/<job>/<n>: what version 0.1 reads. It does not say how many tasks it covers; that follows from the
// settings. V2, t/<job>/<first task>: names its format and how many tasks it covers, up to the next record of
// the job. Where both speak of a task V2 holds, so old records need no rewriting: a record's next write is in
// V2, and the old record is removed behind it. Pure functions.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "job.h"
#include "task_record.h"

namespace corkmux {

std::string task_record_key_v1(const std::string& job, int number);
/// Keys of a job are in the order of their tasks.
std::string task_record_key_v2(const std::string& job, int from);

struct TaskRecordKey {
  RecordFormat format = RecordFormat::V2;
  std::string job;
  int number = 0;  // V1: of the record; V2: of its first task
};
/// None if it is not the key of a task record.
std::optional<TaskRecordKey> parse_task_record_key(const std::string& key);

/// The record of `count` tasks of the job, from `from` on.
nlohmann::json encode_task_record_v1(const Job& job, int from, int count);
nlohmann::json encode_task_record_v2(const Job& job, int from, int count);

/// Tasks of a record, counted from its first one, both ends included.
struct TaskRange {
  int first = 0;
  int last = 0;
};

struct DecodedTaskRecord {
  struct Assignment {
    ActiveTask task;
    std::vector<TaskRange> ranges;  // the tasks that are assigned so
  };
  std::vector<TaskRange> done;
  std::vector<Assignment> assignments;
};
/// Both throw a Json exception for what is no such record.
DecodedTaskRecord decode_task_record_v1(const nlohmann::json& value);
DecodedTaskRecord decode_task_record_v2(const nlohmann::json& value);

/// What a V2 record says of itself.
int task_record_format(const nlohmann::json& value);
int task_record_count(const nlohmann::json& value);
/// Tasks a record of its job has before any split; `otherwise` if it does not say.
int task_record_stride(const nlohmann::json& value, int otherwise);

}  // namespace corkmux
