// The leader role of a controller: owns a term, the scheduler and the actors that carry out the scheduler's
// decisions, from the won election until the term ends.
//
// Depends on the state store, the cloud's interface, the machine catalog and the connections to the other
// controllers. Placement is decided by the scheduler, and requests of users and workers are handled by the
// controller's endpoints. An actor; all public functions except the const ones are its messages.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "catalog.h"
#include "command_dispatcher.h"
#include "election.h"
#include "fanin_messages.h"
#include "incoming_heartbeat.h"
#include "leadership_state.h"
#include "record_format_negotiation.h"
#include "settings.h"
#include "state_client.h"
#include "time_constants.h"

namespace corkmux {

class Leader : public Actor<Leader> {
 public:
  /// One answer for each heartbeat of a batch; nullopt: another controller leads, or none.
  using HeartbeatBatchCallback = std::function<void(std::optional<std::vector<fanin::HeartbeatAnswer>>)>;
  using DoneCallback = std::function<void()>;
  struct Callbacks {
    std::function<void(std::string label, std::uint64_t term)> leader_changed;  // empty label: none known
    std::function<void(std::vector<codec::JobView>)> views;                     // of changed jobs
    CommandRelay relay;                                                         // to other controllers
  };
  Leader(Loop& loop, const Settings& settings, const OperatorChoices& choices, StateClient& state,
         http::Client& cloud, Catalog& catalog, Callbacks callbacks);
  ~Leader();
  void start();

  // Messages.
  void heartbeat(Heartbeat heartbeat, HeartbeatRoute route, HeartbeatCallback reply);
  /// A batch forwarded by another controller: heartbeats of its workers, and outcomes of commands that went
  /// through it. The reply is sent when each heartbeat has its answer.
  void batch(fanin::HeartbeatBatch batch, HeartbeatBatchCallback reply);
  /// A peer has observed a leader with this term.
  void newer_term(std::uint64_t term);
  /// Peers accepted the cancel of these jobs.
  void cancelled(const std::vector<std::string>& jobs);
  /// All peers answered, see CancelAcknowledgements::peers_acknowledged().
  void all_peers_answered(double queried_at, double youngest_seen_at);
  /// An exception has left a handler, so the term's state may be incomplete: the term ends.
  void handler_failed();
  /// Shutdown: starts nothing new, waits up to kShutdownTimeout for requests in flight and then makes them
  /// fail, and revokes the leader lease so that a successor is elected at once. From then on this controller
  /// only observes the leader.
  void resign(DoneCallback done);

  /// Number of machines that are up according to the scheduler; 0 while another controller leads.
  int machines_up() const;
  bool leading() const { return leadership_ && leadership_->loaded; }
  /// The dependency barrier, s of the steady clock: every dependent of a job whose cancel was confirmed
  /// before it has its end stored. This stays true under later leaders. kLongAgo: no barrier is known.
  double dependency_barrier_at() const { return dependency_barrier_at_; }

 private:
  struct OpenBatch;
  class DeferredReaction;
  static constexpr double kTickInterval = 0.25;        // s
  static constexpr double kSchedulingInterval = 0.05;  // s between scheduling cycles; batches events
  static constexpr double kMinCycleDelay = 0.005;      // s
  static constexpr double kForgetInterval = 10;        // s between removals of the data of deleted machines
  static constexpr double kResumeTimeout = 1.0;  // s that a stalled leader waits for its term's confirmation
  static constexpr double kShutdownTimeout = 1.0;        // s for requests in flight
  static constexpr double kShutdownPollInterval = 0.02;  // s

  Election::Callbacks election_callbacks();
  TermCallbacks term_callbacks();

  void won(const ElectionResult& result);
  void load();
  void build(const RecordFormats& formats);
  SchedulerConfig scheduler_config(int v1_tasks_per_record) const;
  void build_actors();
  StateLoader::Callbacks loader_callbacks();
  void begin_leading(std::vector<std::string> garbage);
  void step_down(StepDownReason reason);
  void give_up(StepDownReason reason, double pause_s);
  void finish_resigning(double until, DoneCallback done);

  void take(IncomingHeartbeat incoming);
  void handle(const IncomingHeartbeat& incoming);
  void take_forwarded(const fanin::ForwardedHeartbeat& forwarded, const std::string& forwarder,
                      const std::shared_ptr<OpenBatch>& open);
  void answer_parked();

  void react();
  void schedule_cycle();
  void run_scheduling_cycle();

  void tick();
  void reserve_numbers();
  void fence_cancelled_launches(double now);
  void log_state_store_reachability(bool unreachable);
  void forget_unknown_machines(double now);
  void check_worker_reachability();
  void push_views();
  /// Checks for a stall; whether the state store has confirmed the term since the process last stalled.
  bool confirmed_since_stall();
  /// Whether work that must not wait longer may proceed: the term is confirmed since the last stall, or
  /// kResumeTimeout has passed without a confirmation.
  bool may_proceed();

  Settings settings_;
  OperatorChoices choices_;
  StateClient& state_;
  http::Client& cloud_;
  Catalog& catalog_;
  Callbacks callbacks_;
  Election election_;
  RecordFormatNegotiation record_formats_;
  std::unique_ptr<LeadershipState> leadership_;  // absent while another controller leads
  double dependency_barrier_at_ = kLongAgo;
  bool reaction_deferred_ = false;
  Timer tick_timer_;
  Timer cycle_timer_;
  Timer retry_timer_;
  Timer resign_timer_;
};

}  // namespace corkmux
