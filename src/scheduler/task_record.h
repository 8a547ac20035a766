// Stored records of tasks, as plain data: what the scheduler keeps of each and asks to be written.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace corkmux {

/// Consecutive tasks of a job that are stored together, from its key in Job::task_records on.
struct TaskRecord {
  int count = 0;
  std::uint64_t revision = 0;     // modification revision of its record in format V2; 0: none stored
  std::uint64_t v1_revision = 0;  // and in format V1
  std::uint64_t generation = 0;   // counts changes
  std::uint64_t persisted_generation = 0;
  std::uint64_t urgent_generation = 0;  // last generation that a launch waits for
  bool in_flight = false;               // a write of it is on its way
  std::optional<int> split_off;  // the record that starts there was split off and has to be stored before
};

/// Formats of stored records, see task_record_codec.h.
enum class RecordFormat { V1, V2 };

/// A write of one record that the scheduler asks for.
struct TaskRecordWrite {
  std::string job;
  std::string key;
  int from = 0;  // first task of the record
  RecordFormat format = RecordFormat::V2;
  std::uint64_t revision = 0;  // that the stored record must still have
  std::uint64_t generation = 0;
  bool launches = false;  // launches wait for it, so it must not be stored once the job has an end
  nlohmann::json value;
};

}  // namespace corkmux
