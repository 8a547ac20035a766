// The state that exists only while this controller leads: the term, the scheduler and the actors that carry
// out the scheduler's decisions.
//
// Owns all of them, from the won election until the term ends, and outlives the term by at most one turn of
// the loop. Used on the leader's actor only.
#pragma once
#include <memory>

#include "cancel_acknowledgements.h"
#include "command_dispatcher.h"
#include "dependency_barrier_publisher.h"
#include "heartbeat_delta_cache.h"
#include "job_watcher.h"
#include "lease_expiry_monitor.h"
#include "machine_provisioner.h"
#include "parked_heartbeats.h"
#include "record_format_upgrade.h"
#include "renewal_log.h"
#include "scheduler.h"
#include "stall_detector.h"
#include "state_loader.h"
#include "store_writer.h"
#include "term.h"
#include "time_constants.h"
#include "worker_reachability.h"

namespace corkmux {

struct LeadershipState {
  LeadershipState(const Settings& settings, double now)
      : parked_heartbeats(settings), stall_detector(now), reachability(settings, now) {}

  Term term;
  TermCallbacks callbacks;
  bool loaded = false;  // the scheduler has all stored records; only then this controller leads
  ParkedHeartbeats parked_heartbeats;
  HeartbeatDeltaCache heartbeat_deltas;
  StallDetector stall_detector;
  WorkerReachability reachability;
  RenewalLog renewals;

  // Created, in this order, once the record formats are known.
  std::unique_ptr<Scheduler> scheduler;
  std::unique_ptr<RecordFormatUpgrade> record_upgrade;
  std::unique_ptr<JobWatcher> job_watcher;
  std::unique_ptr<CancelAcknowledgements> cancels;
  std::unique_ptr<DependencyBarrierPublisher> dependency_barrier;
  std::unique_ptr<StoreWriter> writer;
  std::unique_ptr<CommandDispatcher> dispatcher;
  std::unique_ptr<MachineProvisioner> provisioner;
  std::unique_ptr<LeaseExpiryMonitor> lease_monitor;
  std::unique_ptr<StateLoader> loader;

  bool state_store_unreachable = false;  // as last logged
  double cycle_at = kLongAgo;            // start of the last scheduling cycle
  double machines_forgotten_at = kLongAgo;
};

}  // namespace corkmux
