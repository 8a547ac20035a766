// The controller that leads: it owns a term, the scheduler and the actors that carry out what the scheduler
// decides, from the won election until the term ends.
//
// Needs the state store, the cloud's interface, the machine catalog and a way to the other controllers. It
// never decides on placement (the scheduler does) and never speaks to users or workers itself (the
// controller's endpoints do). An actor; all public functions but the const ones are its messages.
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
  using Way = HeartbeatRoute;
  /// One answer for each heartbeat of a batch; nullopt: another controller leads, or none.
  using HeartbeatBatchCallback = std::function<void(std::optional<std::vector<fanin::HeartbeatAnswer>>)>;
  using DoneCallback = std::function<void()>;
  struct Callbacks {
    std::function<void(std::string label, std::uint64_t term)> leader_changed;  // empty label: none known
    std::function<void(std::vector<codec::JobView>)> views;                     // changed job displays
    CommandRelay relay;  // to the controllers that workers are connected to
  };
  Leader(Loop& loop, const Settings& settings, const OperatorChoices& choices, StateClient& state,
         http::Client& cloud, Catalog& catalog, Callbacks callbacks);
  ~Leader();
  void start();

  // Messages.
  void heartbeat(Heartbeat heartbeat, HeartbeatRoute route, HeartbeatCallback reply);
  /// What another controller forwards: heartbeats of its workers, and outcomes of commands that went through
  /// it. The reply comes once each heartbeat has its answer.
  void batch(fanin::HeartbeatBatch batch, HeartbeatBatchCallback reply);
  /// A peer saw a newer leader than us.
  void newer_term(std::uint64_t term);
  /// Peers accepted the cancel of these jobs.
  void cancelled(const std::vector<std::string>& jobs);
  /// All peers were heard, see CancelAcknowledgements::peers_acknowledged().
  void peers_heard(double asked_at, double youngest);
  /// Shutdown: nothing new is started, what is in flight is settled or, after a while, made to fail, and the
  /// leader lease is revoked so that a successor is chosen at once. From then on this controller only watches
  /// who leads.
  void resign(DoneCallback done);

  /// Machines that are up, as far as the scheduler knows; 0 while another controller leads.
  int machines_up() const;
  bool leading() const { return leadership_ && leadership_->loaded; }
  /// s of the steady clock: whatever needs a job whose cancel was confirmed before then has its end stored. A
  /// fact that stays true whoever leads later; kLongAgo: nothing is known.
  double dependency_barrier_at() const { return dependency_barrier_at_; }

 private:
  struct OpenBatch;
  class DeferredReaction;
  static constexpr double kTickInterval = 0.25;        // s
  static constexpr double kSchedulingInterval = 0.05;  // s between scheduling cycles; lets events gather
  static constexpr double kMinCycleDelay = 0.005;      // s
  static constexpr double kForgetInterval = 10;        // s between sweeps of machines that are gone
  static constexpr double kResumeTimeout = 1.0;    // s a stalled leader waits for its term to be confirmed
  static constexpr double kShutdownTimeout = 1.0;  // s for what is in flight
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
  void take_forwarded(const fanin::ForwardedHeartbeat& forwarded, const std::string& server,
                      const std::shared_ptr<OpenBatch>& open);
  void answer_parked();

  void react();
  void schedule_cycle();
  void run_scheduling_cycle();

  void tick();
  void note_state_store(bool away);
  void forget_unknown_machines(double now);
  void check_worker_reachability();
  void push_views();
  /// Whether the state store has confirmed the term since the process last stalled.
  bool awake();
  /// Also where it cannot be confirmed soon: what must not wait any longer goes on.
  bool resumed();

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
