// What exists outside all controllers and machines: the jobs' descriptions as their users uploaded them,
// checkpoints, and the gangs, whose tasks find one another by their attempt (PROTOCOL, 'Gangs'). And the
// observer, which is told what machines did.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "event_loop.h"
#include "machine_facts.h"
#include "model.h"

namespace corkmux::simulation {

class Worker;

/// A job as it really is.
struct SimulatedJob {
  JobSpec spec;
  std::vector<double> run_s;  // per task, on a machine of usual speed; of a gang the first counts for all
  bool always_fails = false;  // submitted with a mistake: fails everywhere
  std::vector<double> saved;  // s of progress that are safe; of a gang the first
  std::vector<bool> done;
};

/// Is told what happens on machines; knows nothing of the controllers. Every method may be left as it is.
class MachineObserver {
 public:
  virtual ~MachineObserver() = default;
  /// The task has its image: from now on it is on that machine.
  virtual void task_placed(const MachineFacts& /*machine*/, const SimulatedJob&, int /*index*/,
                           std::uint64_t /*attempt*/) {}
  virtual void task_removed(const std::string& /*machine*/, const SimulatedJob&, int /*index*/,
                            std::uint64_t /*attempt*/, const std::string& /*why*/) {}
  /// So many seconds of a task's run were for nothing.
  virtual void progress_lost(const SimulatedJob&, const std::string& /*why*/, double /*seconds*/) {}
  virtual void task_running(const SimulatedJob&, int /*index*/) {}
  virtual void task_done(const SimulatedJob&, int /*index*/) {}
};

/// Is told what users ask and what they are answered. Times are s on the clock of whoever tells.
class UserObserver {
 public:
  virtual ~UserObserver() = default;
  virtual void submitted(const JobSpec& spec) = 0;
  /// status of a submission; 0: none.
  virtual void answered_submission(const std::string& job, int status, const std::string& phase,
                                   double asked_at) = 0;
  virtual void gave_up(const std::string& job) = 0;
  virtual void asks_to_cancel(const std::string& job) = 0;
  /// An answer to a question that was on its way before another answer came may be older than that.
  virtual void answered_cancel(const std::string& job, int status, const std::string& phase,
                               double asked_at) = 0;
  virtual void answered_poll(const std::string& job, int status, const std::string& phase,
                             double asked_at) = 0;
  /// A question that counts for what it says alone; or a cancel of what is done.
  virtual void answered_concurrent_read(const std::string& job, int status, const std::string& phase,
                                        double asked_at) = 0;
  /// A submission that has to be refused with the wanted status.
  virtual void answered_invalid(const std::string& job, int status, int wanted) = 0;
};

class JobRegistry {
 public:
  /// `now`: one clock for all machines, s.
  JobRegistry(Loop& loop, double gang_peer_s, MachineObserver& observer,
              std::function<double()> now = steady_now);
  ~JobRegistry();
  /// Null: no such job, or not submitted.
  SimulatedJob* find(const std::string& job);
  SimulatedJob& add(SimulatedJob work);
  /// Makes a job that is asked for but unknown; for tests that submit without telling.
  std::function<SimulatedJob(const std::string&)> make_unknown_job;
  MachineObserver& observer() { return observer_; }
  const std::map<std::string, SimulatedJob>& jobs() const { return jobs_; }

  // Gangs. A worker is named by the pointer, which it takes back with gone().
  void join(SimulatedJob& work, std::uint64_t attempt, int index, Worker* worker);
  /// The task has ended for that reason, or its machine has; before the start the others go on waiting.
  void gone(SimulatedJob& work, std::uint64_t attempt, int index);
  /// Its machine hangs: its gang notices unless it resumes in time.
  void hangs(SimulatedJob& work, std::uint64_t attempt, int index);
  void stop(SimulatedJob& work, std::uint64_t attempt, int index, double grace_s);
  /// What a run of so many seconds is worth when it ends without saving: whole checkpoints.
  static double kept(const SimulatedJob& work, double progress);

 private:
  struct GangRendezvous;
  using Key = std::pair<std::string, std::uint64_t>;
  GangRendezvous* gang(const SimulatedJob& work, std::uint64_t attempt);
  void begin(const Key& key);
  void finish(const Key& key);
  void lose(const Key& key, const char* why);
  void end_saving(const Key& key);
  double progress(const GangRendezvous& gang) const;
  Loop& loop_;
  double gang_peer_s_;
  MachineObserver& observer_;
  std::function<double()> now_;
  std::map<std::string, SimulatedJob> jobs_;
  std::map<Key, std::unique_ptr<GangRendezvous>> gangs_;
};

}  // namespace corkmux::simulation
