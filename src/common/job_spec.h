// A job as its user submitted it; immutable after submission.
#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "resources.h"

namespace corkmux {

/// Array: independent tasks; Gang: all tasks run at the same time; Service: tasks are kept running.
enum class JobKind { Array, Gang, Service };
enum class Priority { Low, Normal, High, Production };

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  std::string image;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  int tasks = 1;
  Resources need;  // of one task
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // machine types it may run on; absent: any
  std::optional<std::string> zone;                // absent: any
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string> dependencies;  // jobs that have to be done before any task of this job starts

  /// Resources that have to be free for the job to start: those of all tasks for a gang, else of one task.
  Resources resources_to_start() const {
    // Summed task by task, since a product would round differently.
    Resources all;
    int together = kind == JobKind::Gang ? tasks : 1;
    for (int i = 0; i < together; ++i) all += need;
    return all;
  }
  bool allows_type(const std::string& type) const {
    return !types || std::find(types->begin(), types->end(), type) != types->end();
  }
};

}  // namespace corkmux
