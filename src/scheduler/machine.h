// A machine as the scheduler holds it, as plain data.
#pragma once
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "capacity_index.h"
#include "model.h"
#include "task.h"
#include "time_constants.h"

namespace corkmux {
namespace constants {

inline constexpr double kNominationTime = 8.0;  // s a machine stays nominated for a job

}  // namespace constants

struct Machine {
  /// Failures of a job here since the machine last completed anything.
  struct JobFailures {
    int times = 0;
    bool well = false;  // the job has ended since, as one that does well
  };

  // What it is.
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;
  Resources free;
  double provisioned_at = kLongAgo;  // when asked for or first seen
  std::optional<double> gone_at;     // when the cloud takes it back
  bool up = false;                   // it has sent a heartbeat
  bool decommissioning = false;
  bool faulty = false;

  // Its worker.
  std::uint64_t worker_epoch = 0;
  std::uint64_t seq = 0;                // of the last heartbeat
  std::uint64_t observed_token = 0;     // the highest that the worker has reported
  std::uint64_t fencing_token = 0;      // that its next commands carry
  std::uint64_t required_token = 0;     // to be observed before anything is placed there
  std::uint64_t last_launch_token = 0;  // of the last commands with launches
  double last_heard = kLongAgo;
  double last_answered = kLongAgo;
  double last_launch = kLongAgo;
  double fencing_token_raised_at = kLongAgo;  // when the worker first showed a token of this term
  double renewed_by_proxy_until = kLongAgo;   // a lease proxy may have renewed its lease until then

  // Commands for it.
  bool direct = true;               // commands can be sent to it, not only with answers to heartbeats
  double next_probe_at = kLongAgo;  // when sending is tried again
  bool dispatch_in_flight = false;
  bool needs_dispatch = false;  // a stop should not wait for the next heartbeat
  std::vector<TaskId> outbox;   // launches whose assignment is stored

  // What runs there.
  std::set<TaskId> tasks;
  std::array<int, 4> stoppable{};  // tasks of arrays and services not yet stopped, by priority
  int stopping = 0;                // tasks that are
  double idle_since = kLongAgo;

  // Where new work goes.
  double cordoned_until = kLongAgo;
  double no_capacity_until = kLongAgo;
  std::string nominated_job;  // a more urgent job for which work is being stopped here
  double nominated_until = kLongAgo;
  int heat = 0;  // tasks that start
  double slack_slope = 0;
  double heat_slope = 0;
  double seen_slack = 1;  // as of the last heartbeat, like the next two
  double seen_heat = 0;
  double seen_at = kLongAgo;
  std::deque<std::string> images;  // most recent first
  std::map<std::string, double> image_gb;
  CapacityIndex::IndexEntry index_entry;

  // What failed there.
  std::map<std::string, JobFailures> failures;
  double failures_since = kLongAgo;

  /// The share of it that would be free with so much unused, 0 to 1.
  double slack(const Resources& unused) const;
  double slack() const { return slack(free); }
  bool holds_image(const std::string& image) const;
};

/// Whether a job may use machines of that type, zone and kind.
bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);
bool allowed(const JobSpec& spec, const Machine& machine);

}  // namespace corkmux
