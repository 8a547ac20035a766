// Keeps workers alive that reach this controller but no way to the leader: the leader leads on the other side
// of a cut between zones, and the tasks here need not die for it.
//
// A keeper answers with the token the worker already obeys and gives no order but to stop tasks of jobs that
// are over. It may answer a worker only while a record that names it has been written within the last
// lease_proxy_span(); a leader counts a worker as dead only after its lease has run out since that record
// could last have been used.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "lease_proxy_record.h"
#include "settings.h"
#include "state_client.h"
#include "store_keys.h"

namespace corkmux {

namespace constants {
/// s that heartbeats wait for each other: workers beyond a cut come in a burst, a write names many.
inline constexpr double kLeaseProxyBatchDelay = 0.25;
inline constexpr double kJobReads = 0.4;  // s between reads of all jobs, a few pages each
}  // namespace constants

class LeaseProxy : public Actor<LeaseProxy> {
 public:
  using Reply = std::function<void(int status, std::string body)>;
  LeaseProxy(Loop& loop, const Settings& settings, StateClient& state);
  void keep(Heartbeat heartbeat, Reply reply);
  /// The worker has found the leader again.
  void release(const std::string& machine);

 private:
  struct Asking {
    Heartbeat heartbeat;
    Reply reply;
    double since;
  };
  /// Whoever waits is answered, or waits for the next write.
  void write();
  /// What stands in our records: their stamps, and whom they entitle us, or a former life of ours, to answer.
  void read_own();
  void store();
  void stored(bool ok);
  /// Answers once the report's tasks are known to be of unfinished jobs, or not to be.
  void check_jobs(const Heartbeat& heartbeat, const Reply& reply);
  bool all_known(const Asking& a) const;
  void read_jobs();
  void answer(const Heartbeat& heartbeat, const Reply& reply);
  bool entitled(const std::string& machine) const;
  StateClient& state_;
  std::string key_;
  double span_, forget_after_;
  std::size_t room_, names_bytes_ = 0;  // of a record that names machines, and of all names
  int records_;                         // that one transaction may write: all are written together
  /// Stamps of our records; none: not known, so they are read before the next write.
  std::optional<std::map<std::string, std::uint64_t>> revisions_;
  std::map<std::string, double> seen_;  // machine -> last report
  std::set<std::string> written_;
  double written_at_ = -1e9;
  bool writing_ = false;
  int conflicts_ = 0;  // in a row
  std::uint64_t count_ = 0;
  std::vector<std::pair<Heartbeat, Reply>> waiting_;
  std::vector<Asking> asking_;                         // for a read of the jobs that began after they came
  std::unordered_set<std::string> jobs_;               // unfinished and not cancelled when read_at_ was
  std::unordered_set<std::string> found_, cancelled_;  // by the read under way
  double read_at_ = -1e9, reading_since_ = -1e9;
  bool reading_ = false;
  Timer timer_, read_timer_;
};

}  // namespace corkmux
