// Renews by proxy the leases of workers that reach this controller but no way to the leader: the leader leads
// on the other side of a cut between zones, and the tasks here need not die for it.
//
// Owns who is named in this controller's records. A worker is answered with the fencing token it already
// obeys, and gets no command but to stop tasks of jobs that are over; only while a record that names it has
// been written within the last lease_proxy_span(). A leader counts a worker as dead only after its lease has
// run out since that record could last have been used.
#pragma once
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease_proxy_records.h"
#include "model.h"
#include "settings.h"
#include "state_client.h"
#include "time_constants.h"
#include "unfinished_jobs.h"

namespace corkmux {

namespace constants {
/// s that heartbeats wait for each other: workers beyond a cut come in a burst, a write names many.
inline constexpr double kLeaseProxyBatchDelay = 0.25;
}  // namespace constants

class LeaseProxy : public Actor<LeaseProxy> {
 public:
  /// The worker's commands in their wire form; no value: its lease is not renewed, it tries elsewhere.
  using ReplyCallback = std::function<void(std::optional<std::string> commands)>;
  LeaseProxy(Loop& loop, const Settings& settings, StateClient& state);

  // Messages.
  void renew(Heartbeat heartbeat, ReplyCallback reply);
  /// The worker has found the leader again.
  void release(const std::string& machine);

 private:
  struct Waiting {
    Heartbeat heartbeat;
    ReplyCallback reply;
  };
  bool entitled(const std::string& machine) const;
  /// Whoever waits is answered, or waits for the next write.
  void write();
  void read_then_write();
  void write_names();
  std::set<std::string> names_to_write(double now);
  void names_written(std::set<std::string> names, double asked_at, StateStatus status);
  void finish_write(bool ok);
  /// Answers once it is known whether the jobs of the heartbeat's tasks are unfinished.
  void check_jobs(Waiting waiting);
  void answer(const Waiting& waiting) const;

  double span_;          // s for which a record entitles
  double forget_after_;  // s until a worker that is silent is named no more
  LeaseProxyRecords records_;
  UnfinishedJobs unfinished_jobs_;
  std::map<std::string, double> seen_;  // machine -> when its last heartbeat came
  std::size_t seen_bytes_ = 0;          // of their names
  std::set<std::string> written_;       // whom the records name
  double written_at_ = kLongAgo;
  bool writing_ = false;
  int conflicts_ = 0;             // in a row
  std::vector<Waiting> waiting_;  // for a record that names them
  Timer write_timer_;
};

}  // namespace corkmux
