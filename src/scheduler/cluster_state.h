// The scheduler's data: jobs, machines, teams, and everything derived from them.
//
// Owns the configuration, jobs, machines, the catalog of machine types, teams and their quota use, the
// indexes of jobs and of free capacity, fencing tokens, and pending notifications (jobs whose displayed state
// changed, log events, machines that may need commands, the request for a scheduling cycle). Only this class
// changes quota use or an index. It makes no scheduling decisions and does not handle records: modules change
// the fields of a job or a machine and then call reindex(). Pointers and references to jobs and machines stay
// valid until the job or machine is removed.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "capacity_index.h"
#include "job.h"
#include "job_index.h"
#include "machine.h"
#include "model.h"
#include "scheduler_config.h"
#include "sequence_numbers.h"

namespace corkmux {
namespace constants {

inline constexpr double kSilentAfterHeartbeats = 2.6;  // missed heartbeats, then no task is placed there

}  // namespace constants

class ClusterState {
 public:
  ClusterState(SchedulerConfig config, std::uint64_t term, double now);
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  const SchedulerConfig& config() const { return config_; }
  /// When this term began on this controller.
  double started_at() const { return started_at_; }

  // --- the catalog of machine types ---
  void set_catalog(const std::vector<MachineType>& types) { types_ = types; }
  const std::vector<MachineType>& catalog() const { return types_; }
  /// Null if the catalog has no type of that name.
  const MachineType* type(const std::string& name) const;

  // --- jobs ---
  std::unordered_map<std::string, Job>& jobs() { return jobs_; }
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  /// Null if there is no such job.
  Job* job(const std::string& id);
  const Job* job(const std::string& id) const;
  struct AddedJob {
    Job& job;
    bool added;  // false: the job existed already
  };
  /// Sets the job's revision; a new job is added with all its tasks queued.
  AddedJob add_job(const JobSpec& spec, std::uint64_t revision, double accepted_at);
  /// The job must have no task on any machine.
  void remove_job(const std::string& id);
  /// Must be called after every change of a job field that the index depends on.
  void reindex(Job& job) { job_index_.update(job); }
  const JobIndex& job_index() const { return job_index_; }
  /// Changes the job's priority and counts its active tasks under the new one.
  void set_priority(Job& job, Priority priority);

  // --- machines ---
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  /// Null if there is no such machine.
  Machine* machine(const std::string& name);
  const Machine* machine(const std::string& name) const;
  struct AddedMachine {
    Machine& machine;
    bool added;  // false: the machine existed already
  };
  /// Returns the machine of that name and adds it if there is none.
  AddedMachine add_machine(const std::string& name, double now);
  void remove_machine(const std::string& name);
  /// The machine that has the address, as far as is known; null if there is none.
  Machine* machine_at(const std::string& address);
  /// Sets the machine's address. Another machine that had it is no longer there and gets no more commands.
  void set_address(Machine& machine, const std::string& address);
  /// Removes machines that only task records name and that have no tasks left.
  void remove_unknown_machines();
  /// Must be called after every change of a machine field that the index depends on.
  void reindex(Machine& machine, double now);
  /// Must be called before the machine's type, zone or spot flag changes: the index groups machines by these.
  void remove_from_index(Machine& machine) { capacity_index_.remove(machine); }
  const CapacityIndex& capacity_index() const { return capacity_index_; }
  /// Machines whose indexed capacity expires at or before `now`; the caller has to reindex each.
  std::vector<Machine*> due_for_reindex(double now) { return capacity_index_.due(now); }
  /// The machine's capacity as the index of free capacity has to hold it.
  MachineCapacity machine_capacity(const Machine& machine, double now) const;
  /// Whether tasks can be placed on the machine, unless it is full or silent.
  bool accepts_tasks(const Machine& machine) const;
  /// Whether tasks can be placed on the machine now.
  bool usable(const Machine& machine, double now) const;
  /// Whether the worker has missed more heartbeats than kSilentAfterHeartbeats allows.
  bool silent(const Machine& machine, double now) const;
  /// Clears the machine's images: a worker starts a new epoch without any.
  void clear_images(Machine& machine);
  /// Records that the machine has the job's image, as the most recently used one.
  void record_image(Machine& machine, const JobSpec& spec);
  /// s that the machine needs to fetch the job's image; 0 if it has the image.
  double fetch_time(const JobSpec& spec, const Machine& machine) const;

  // --- tasks on machines, and what teams use ---
  /// Assigns the queued task to the machine. The caller has to reindex the machine afterwards.
  void occupy(Job& job, int index, ActiveTask task, Machine& machine);
  /// Removes the active task from its machine and releases its quota; the task's phase stays.
  void vacate(Job& job, int index, double now);
  /// Requests a stop of the active task with `grace_s` to save, unless it already has to stop sooner.
  void request_stop(Job& job, int index, double grace_s);
  const std::map<std::string, Team>& teams() const { return teams_; }
  const Resources& team_use(const std::string& team) const;
  /// The part of the team's use that belongs to stopping tasks.
  const Resources& team_stopping(const std::string& team) const;
  const Resources& class_use(const std::string& job_class) const;
  /// Whether the team stays within its limit if it uses `more` in addition.
  bool within_limit(const std::string& team, const Resources& more) const;

  // --- fencing tokens and attempts ---
  SequenceNumbers& sequence() { return sequence_; }
  const SequenceNumbers& sequence() const { return sequence_; }
  /// Gives the machine a higher fencing token: from now on, only a heartbeat that carries its required token
  /// confirms that a task is absent from the machine. If the numbers are used up, no heartbeat does until the
  /// next term.
  void raise_fencing_token(Machine& machine);

  // --- pending notifications ---
  /// Marks the job as one whose displayed state has changed.
  void mark_changed(const std::string& job) { changed_.insert(job); }
  std::unordered_set<std::string> take_changed() { return std::exchange(changed_, {}); }
  /// Adds a log line for an event that an operator should see.
  void note(std::string line) { notes_.push_back(std::move(line)); }
  std::vector<std::string> take_notes() { return std::exchange(notes_, {}); }
  /// Marks the machine for CommandQueue, after a change that may leave commands for its worker.
  void mark_for_dispatch(const std::string& machine) { dispatch_candidates_.insert(machine); }
  std::set<std::string> take_dispatch_candidates() { return std::exchange(dispatch_candidates_, {}); }
  /// Requests a scheduling cycle, after a change that may let a waiting task be placed.
  void request_cycle() { cycle_requested_ = true; }
  void cycle_started() { cycle_requested_ = false; }
  bool cycle_requested() const { return cycle_requested_; }

 private:
  /// Adds `by` (1 or -1) to the machine's count of stopping tasks if the task is stopping, else to its count
  /// of stoppable tasks. Gang members are never counted as stoppable.
  void count_task(Machine& machine, const Job& job, const ActiveTask& task, int by);
  void release_quota(const Job& job);
  void forget_address(const Machine& machine);

  SchedulerConfig config_;
  SequenceNumbers sequence_;
  double started_at_;
  std::vector<MachineType> types_;
  std::unordered_map<std::string, Job> jobs_;
  std::map<std::string, Machine> machines_;
  std::unordered_map<std::string, std::string> machine_at_;  // by address
  std::map<std::string, Team> teams_;
  std::map<std::string, Resources> team_use_;
  std::map<std::string, Resources> team_stopping_;
  std::unordered_map<std::string, Resources> class_use_;
  JobIndex job_index_;
  CapacityIndex capacity_index_;
  std::unordered_set<std::string> changed_;
  std::vector<std::string> notes_;
  std::set<std::string> dispatch_candidates_;
  bool cycle_requested_ = true;
};

}  // namespace corkmux
