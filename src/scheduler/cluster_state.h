// The scheduler's data: jobs, machines, teams, and everything that is derived from them.
//
// Owns the configuration, jobs, machines, the catalog, teams and their use of quota, the indexes of jobs and
// of free capacity, fencing tokens, and what others have yet to be told (changed jobs, notes, machines with
// commands, the need of a scheduling cycle). It is the only code that changes quota use or an index. It
// decides nothing and knows nothing of records: modules change a job's or a machine's own fields and then say
// so by reindex(). Pointers and references to jobs and machines hold until these are removed.
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

namespace corkmux {
namespace constants {

inline constexpr double kSilentAfterHeartbeats = 2.6;  // heartbeats missed: nothing is placed there

}  // namespace constants

class ClusterState {
 public:
  ClusterState(SchedulerConfig config, std::uint64_t term, double now);
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  const SchedulerConfig& config() const { return config_; }
  /// When this term began here.
  double started_at() const { return started_at_; }

  // --- the catalog of machine types ---
  void set_catalog(const std::vector<MachineType>& types) { types_ = types; }
  const std::vector<MachineType>& catalog() const { return types_; }
  /// None if the catalog does not have it.
  const MachineType* type(const std::string& name) const;

  // --- jobs ---
  std::unordered_map<std::string, Job>& jobs() { return jobs_; }
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  /// None if there is no such job.
  Job* job(const std::string& id);
  const Job* job(const std::string& id) const;
  struct AddedJob {
    Job& job;
    bool added;  // false: it was known
  };
  /// The job gets this revision; a new one is added with all its tasks queued.
  AddedJob add_job(const JobSpec& spec, std::uint64_t revision, double accepted_at);
  /// It must have no task on any machine.
  void remove_job(const std::string& id);
  /// To be called after every change of what the index knows of a job.
  void reindex(Job& job) { job_index_.update(job); }
  const JobIndex& job_index() const { return job_index_; }
  /// Its tasks count under its new priority from now on.
  void set_priority(Job& job, Priority priority);

  // --- machines ---
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  /// None if there is no such machine.
  Machine* machine(const std::string& name);
  const Machine* machine(const std::string& name) const;
  struct AddedMachine {
    Machine& machine;
    bool added;  // false: it was known
  };
  /// The machine, which is added if it is not known.
  AddedMachine add_machine(const std::string& name, double now);
  void remove_machine(const std::string& name);
  /// Forgets machines known only from a record whose tasks are gone.
  void remove_unknown_machines();
  /// To be called after every change of what the index knows of a machine.
  void reindex(Machine& machine, double now);
  /// Where the index has it by its type, zone and kind, which are about to change.
  void remove_from_index(Machine& machine) { capacity_index_.remove(machine); }
  const CapacityIndex& capacity_index() const { return capacity_index_; }
  /// Machines whose indexed capacity holds only until now: each has to be reindexed.
  std::vector<Machine*> due_for_reindex(double now) { return capacity_index_.due(now); }
  /// What the index of free capacity is to say of a machine.
  MachineCapacity machine_capacity(const Machine& machine, double now) const;
  /// It can be placed on, unless it is full or silent.
  bool takes_work(const Machine& machine) const;
  /// It can be placed on now.
  bool usable(const Machine& machine, double now) const;
  /// Its worker has been silent for longer than heartbeats explain.
  bool silent(const Machine& machine, double now) const;
  /// The machine's worker has begun another life: its images are gone.
  void clear_images(Machine& machine);
  /// The machine has the job's image now, as the most recent one.
  void note_image(Machine& machine, const JobSpec& spec);
  /// s until the job's image is there.
  double fetch_time(const JobSpec& spec, const Machine& machine) const;

  // --- tasks on machines, and what teams use ---
  /// The queued task takes its place on the machine. The machine has to be reindexed afterwards.
  void occupy(Job& job, int index, ActiveTask task, Machine& machine);
  /// The active task's place is empty; its phase stays.
  void vacate(Job& job, int index, double now);
  /// Asks for a stop of the active task with so much time to save, unless it has to be over sooner already.
  void request_stop(Job& job, int index, double grace_s);
  const std::map<std::string, Team>& teams() const { return teams_; }
  const Resources& team_use(const std::string& team) const;
  /// Of that, what is on its way out.
  const Resources& team_stopping(const std::string& team) const;
  const Resources& class_use(const std::string& job_class) const;
  /// Whether the team's limit lets it use so much more.
  bool within_limit(const std::string& team, const Resources& more) const;

  // --- fencing tokens and attempts ---
  /// The lowest number of this term: a token from there on is this leader's.
  std::uint64_t first_number() const;
  /// Whether the token is of a later term than this one.
  bool superseded_by(std::uint64_t token) const;
  std::uint64_t next_number();
  /// From now on only what the machine reports under this token says that a task is not there.
  std::uint64_t raise_fencing_token(Machine& machine);

  // --- what others have yet to be told ---
  /// A job's displayed state has changed.
  void mark_changed(const std::string& job) { changed_.insert(job); }
  std::unordered_set<std::string> take_changed() { return std::exchange(changed_, {}); }
  /// One line for the log per event worth an operator's attention.
  void note(std::string line) { notes_.push_back(std::move(line)); }
  std::vector<std::string> take_notes() { return std::exchange(notes_, {}); }
  /// Something of the machine has changed that can give it commands.
  void mark_for_dispatch(const std::string& machine) { dispatch_candidates_.insert(machine); }
  std::set<std::string> take_dispatch_candidates() { return std::exchange(dispatch_candidates_, {}); }
  /// Waiting work may find a place now.
  void request_cycle() { wants_cycle_ = true; }
  void cycle_begins() { wants_cycle_ = false; }
  bool wants_cycle() const { return wants_cycle_; }

 private:
  /// A task of a machine counts among what may be stopped there, or among what is stopping; or no longer.
  void count_task(Machine& machine, const Job& job, const ActiveTask& task, int by);
  void release_quota(const Job& job);

  SchedulerConfig config_;
  std::uint64_t term_;
  std::uint64_t counter_ = 0;
  double started_at_;
  std::vector<MachineType> types_;
  std::unordered_map<std::string, Job> jobs_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Team> teams_;
  std::map<std::string, Resources> team_use_;
  std::map<std::string, Resources> team_stopping_;
  std::unordered_map<std::string, Resources> class_use_;
  JobIndex job_index_;
  CapacityIndex capacity_index_;
  std::unordered_set<std::string> changed_;
  std::vector<std::string> notes_;
  std::set<std::string> dispatch_candidates_;
  bool wants_cycle_ = true;
};

}  // namespace corkmux
