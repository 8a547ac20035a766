// What exists outside all controllers and machines: the jobs' descriptions as their users uploaded them,
// checkpoints, and the gangs, whose tasks find one another by their attempt (PROTOCOL, 'Gangs').
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>

#include "event_loop.h"
#include "gang_member.h"
#include "machine_observer.h"
#include "simulated_job.h"

namespace corkmux::simulation {

class JobRegistry {
 public:
  /// `gang_peer_s`: that a gang's member survives another; `now`: one clock for all machines, s.
  JobRegistry(Loop& loop, double gang_peer_s, MachineObserver& observer,
              std::function<double()> now = steady_now);
  ~JobRegistry();

  /// Null: no such job, or not submitted. Stays valid as long as the registry.
  SimulatedJob* find(const std::string& job);
  SimulatedJob& add(SimulatedJob job);
  /// Makes a job that is asked for but unknown; for tests that submit without telling.
  std::function<SimulatedJob(const std::string&)> make_unknown_job;
  MachineObserver& observer() { return observer_; }
  const std::map<std::string, SimulatedJob>& jobs() const { return jobs_; }

  /// What a run of so many seconds is worth when it ends without saving: whole checkpoints.
  static double checkpointed(const SimulatedJob& job, double progress_s);

  // Gangs. `member` is kept until member_gone or gang_exits.
  /// The task waits for the others; the gang starts when all are there.
  void join_gang(SimulatedJob& job, std::uint64_t attempt, int index, GangMember* member);
  /// The task has ended for that reason, or its machine has; before the start the others go on waiting.
  void member_gone(const SimulatedJob& job, std::uint64_t attempt, int index);
  /// Its machine hangs: its gang notices unless it resumes in time.
  void member_hangs(const SimulatedJob& job, std::uint64_t attempt, int index);
  /// The task is told to stop: it saves with the others if they are all told, and if there is time to.
  void stop_member(const SimulatedJob& job, std::uint64_t attempt, int index, double grace_s);

 private:
  struct GangRendezvous;
  struct GangKey {
    std::string job;
    std::uint64_t attempt = 0;
    bool operator<(const GangKey& other) const {
      return std::tie(job, attempt) < std::tie(other.job, other.attempt);
    }
  };
  GangRendezvous* find_gang(const SimulatedJob& job, std::uint64_t attempt);
  void start_gang(const GangKey& key);
  void finish_gang(const GangKey& key);
  void break_gang(const GangKey& key, const char* why);
  void end_saving(const GangKey& key);
  std::unique_ptr<GangRendezvous> take_gang(const GangKey& key);
  /// Frees it once the message that runs now, maybe one of its timers', is over.
  void dispose(std::unique_ptr<GangRendezvous> gang);
  void detect_hang(const GangKey& key, int index, const GangMember* member);
  double progress(const GangRendezvous& gang) const;
  void freeze(GangRendezvous& gang) const;

  Loop& loop_;
  double gang_peer_s_;
  MachineObserver& observer_;
  std::function<double()> now_;
  std::map<std::string, SimulatedJob> jobs_;
  std::map<GangKey, std::unique_ptr<GangRendezvous>> gangs_;
};

}  // namespace corkmux::simulation
