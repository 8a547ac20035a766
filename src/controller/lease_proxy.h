// Renews by proxy the leases of workers that reach this controller but not the leader, so that their tasks
// keep running while the leader is on the other side of a network partition between zones.
//
// Owns the set of workers named in this controller's records. A worker is answered only while a record that
// names it was written within the last lease_proxy_span(). The answer carries the fencing token that the
// worker already has, or the lowest token of the latest term if that is higher: then commands of former
// leaders that arrive late are refused, as they are at workers that the leader itself answers. It carries no
// commands except to stop tasks of jobs that are over. A leader counts a worker as dead only when a whole
// lease has passed since the record could last have been used.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease_proxy_records.h"
#include "model.h"
#include "sequence_numbers.h"
#include "settings.h"
#include "state_client.h"
#include "time_constants.h"
#include "unfinished_jobs.h"

namespace corkmux {

namespace constants {
/// s that heartbeats wait for a shared write: workers of a partitioned zone arrive in a burst, and one write
/// names many.
inline constexpr double kLeaseProxyBatchDelay = 0.25;
}  // namespace constants

class LeaseProxy : public Actor<LeaseProxy> {
 public:
  /// The worker's command batch, encoded for the wire; no value: its lease is not renewed, and it tries
  /// another controller.
  using ReplyCallback = std::function<void(std::optional<std::string> commands)>;
  LeaseProxy(Loop& loop, const Settings& settings, StateClient& state);

  // Messages.
  /// Renews the lease of the heartbeat's worker, once a record names the worker.
  void renew(Heartbeat heartbeat, ReplyCallback reply);
  /// Another term was observed; 0: none.
  void term_changed(std::uint64_t term);
  /// Stops naming the worker, which reaches the leader again.
  void release(const std::string& machine);

 private:
  struct Waiting {
    Heartbeat heartbeat;
    ReplyCallback reply;
  };
  bool has_valid_record(const std::string& machine) const;
  /// Writes the records if no write is under way; then answers the heartbeats that wait for it.
  void write();
  void read_then_write();
  void write_names();
  std::set<std::string> names_to_write(double now);
  void names_written(std::set<std::string> names, double requested_at, StateStatus status);
  void finish_write(bool ok);
  /// Answers after a read showed which jobs of the heartbeat's tasks are unfinished.
  void check_jobs(Waiting waiting);
  void answer(const Waiting& waiting);
  void log_renewals();

  std::uint64_t lowest_token_ = 0;  // of the latest term
  double record_validity_;          // s after its write for which a record allows renewals
  double forget_after_;             // s without a heartbeat until a worker is no longer named
  LeaseProxyRecords records_;
  UnfinishedJobs unfinished_jobs_;
  std::map<std::string, double> last_heartbeat_at_;  // machine -> when its last heartbeat arrived
  std::size_t name_bytes_ = 0;               // of the names in last_heartbeat_at_, as bytes_of() counts them
  std::set<std::string> recorded_machines_;  // machines that the records name
  double written_at_ = kLongAgo;             // when the request of the last successful write was sent
  bool writing_ = false;
  int consecutive_conflicts_ = 0;  // writes in a row that conflicted
  std::vector<Waiting> waiting_;   // for a record that names their machine
  // Since the last log line:
  int renewals_ = 0;
  int stops_ = 0;     // tasks told to stop
  int refusals_ = 0;  // without a record, or without the list of unfinished jobs
  double logged_at_ = kLongAgo;
  Timer write_timer_;
};

}  // namespace corkmux
