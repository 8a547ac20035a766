// Holds the state that exists outside all controllers and machines: the job descriptions that users uploaded,
// checkpoints, and the gangs, whose tasks find each other by their attempt (protocol, 'Gangs').
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
  /// `gang_peer_s`: how long members of a gang survive the loss of another; `now`: one clock for all
  /// machines, s.
  JobRegistry(Loop& loop, double gang_peer_s, MachineObserver& observer,
              std::function<double()> now = steady_now);
  ~JobRegistry();

  /// Returns null if the job does not exist or was not submitted. The pointer stays valid as long as the
  /// registry.
  SimulatedJob* find(const std::string& job);
  SimulatedJob& add(SimulatedJob job);
  /// Creates a requested job that is not registered; for tests that submit jobs without adding them here.
  std::function<SimulatedJob(const std::string&)> make_unknown_job;
  MachineObserver& observer() { return observer_; }
  const std::map<std::string, SimulatedJob>& jobs() const { return jobs_; }

  /// Progress that remains, s, when a run of `progress_s` ends without saving: whole checkpoint intervals.
  static double checkpointed(const SimulatedJob& job, double progress_s);

  // Gangs. The pointer `member` is kept until member_gone or gang_exits.
  /// The task waits for the other members; the gang starts when all members have joined.
  void join_gang(SimulatedJob& job, std::uint64_t attempt, int index, GangMember* member);
  /// The task or its machine has ended. Before the gang's start, the other members continue waiting.
  void member_gone(const SimulatedJob& job, std::uint64_t attempt, int index);
  /// The task's machine hangs; its gang detects this unless the machine resumes in time.
  void member_hangs(const SimulatedJob& job, std::uint64_t attempt, int index);
  /// Stops the task. Its progress is saved if all members are stopped and the grace period is long enough.
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
  /// Frees the gang after the current callback, which may belong to one of the gang's timers.
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
