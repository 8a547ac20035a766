// Stored task records, as plain data: the scheduler's bookkeeping of each record, and the write requests.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace corkmux {

/// Consecutive tasks of a job that are stored in one record, from the record's key in Job::task_records on.
struct TaskRecord {
  int count = 0;
  std::uint64_t revision = 0;     // modification revision of the record in format V2; 0: none stored
  std::uint64_t v1_revision = 0;  // the same in format V1
  std::uint64_t generation = 0;   // incremented with every change
  std::uint64_t persisted_generation = 0;
  std::uint64_t urgent_generation = 0;  // latest generation that a launch waits for
  bool in_flight = false;               // a write of the record is in flight
  std::optional<int> split_off;  // first task of a record split off this one, which has to be stored first
};

/// Formats of stored task records, see task_record_codec.h.
enum class RecordFormat { V1, V2 };

/// A write of one record that the scheduler requests.
struct TaskRecordWrite {
  std::string job;
  std::string key;
  int from = 0;  // first task of the record
  RecordFormat format = RecordFormat::V2;
  std::uint64_t revision = 0;  // condition: the stored record still has this revision
  std::uint64_t generation = 0;
  bool launches = false;  // launches wait for it, so it must not be stored once the job's end is stored
  nlohmann::json value;
};

}  // namespace corkmux
