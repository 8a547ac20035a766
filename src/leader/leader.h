// The controller that leads: it owns a term, the book and the actors that carry out what the book decides,
// from the won election until the term ends.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "catalog.h"
#include "command_dispatcher.h"
#include "dependency_barrier.h"
#include "election.h"
#include "job_watcher.h"
#include "lease_expiry_monitor.h"
#include "machine_provisioner.h"
#include "record_format_negotiation.h"
#include "scheduler.h"
#include "settings.h"
#include "state_client.h"
#include "state_loader.h"
#include "store_writer.h"
#include "term.h"

namespace corkmux {

class Leader : public Actor<Leader> {
 public:
  using HeartbeatReply = std::function<void(int status, std::string body)>;
  /// How a report came: from a worker that reaches us or one of our peers, or through the state service.
  enum class Way { Direct, StoreRelay };
  struct Callbacks {
    std::function<void(std::string label, std::uint64_t term)> leader_changed;  // empty label: none known
    std::function<void(std::vector<codec::JobView>)> views;                     // changed job displays
    CommandRelay relay;  // to the controllers that serve workers
  };
  Leader(Loop& loop, const Settings& settings, const OperatorChoices& choices, StateClient& state,
         http::Client& cloud, Catalog& catalog, Callbacks callbacks);
  ~Leader();
  void start();

  // Messages.
  void heartbeat(Heartbeat heartbeat, Way way, HeartbeatReply reply);
  /// What a serving controller passes on: reports of its workers, and outcomes of orders that went through
  /// it. The reply comes once each report has its answer.
  void batch(fanin::HeartbeatBatch batch, HeartbeatReply reply);
  /// A peer saw a newer leader than us.
  void newer_term(std::uint64_t term);
  /// Peers accepted the cancel of these jobs.
  void cancelled(const std::vector<std::string>& jobs);
  /// No peer knows a cancel, up to `asked_at`, that it has not told us.
  void peers_heard(double asked_at, double youngest);
  /// An orderly end: nothing new is started, what is in flight is settled or, after a while, shut out, and
  /// the grant goes back so that a successor is chosen at once. From then on this controller only watches who
  /// leads.
  void resign(std::function<void()> done);
  /// Machines that are up, as far as the book knows; 0 while another controller leads.
  int machines_up() const;
  bool leading() const { return leadership_ && leadership_->leading; }
  /// s of the steady clock: whatever needs a job whose cancel was told before then has its end stored. A fact
  /// that stays true whoever leads later; -1e9: nothing is known.
  double dependency_barrier_at() const { return dependency_barrier_at_; }

 private:
  /// A report on its way to the book.
  struct Incoming {
    Heartbeat heartbeat;
    Way way;
    std::string server;  // the controller that passed it on in a batch; empty: none did
    HeartbeatReply reply;
  };
  struct OpenBatch;
  /// What exists only while this controller leads, in the order of construction.
  struct LeadershipState {
    Term term;
    TermCallbacks callbacks;
    std::unique_ptr<Scheduler> scheduler;
    std::unique_ptr<JobWatcher> job_watcher;
    std::unique_ptr<StateLoader> loader;
    std::unique_ptr<StoreWriter> writer;
    std::unique_ptr<CommandDispatcher> command_batch;
    std::unique_ptr<MachineProvisioner> fleet;
    std::unique_ptr<LeaseExpiryMonitor> leases;
    std::vector<Incoming> parked_heartbeats;  // reports that arrive while loading
    /// Of machines that are served by other controllers: the last report that came whole.
    std::unordered_map<std::string, Heartbeat> full_heartbeats;
    bool leading = false;  // loaded
    double cancels_acknowledged_until =
        -1e9;  // last moment up to which all peers vouched that we miss no cancel
    double last_report = 0, last_cycle = -1e9, last_tick = 0, formats_polled_at = -1e9, forgot_at = -1e9;
    std::unique_ptr<DependencyBarrier> dependency_barrier;
    double barrier_written_at = -1e9;
    bool state_away = false, polling_formats = false;
  };
  void won(const Election::ElectionResult& won);
  void load();
  void build(int v1_tasks_per_record, bool all_read_v2);
  void begin_leading(std::vector<std::string> garbage);
  void step_down(const char* why);
  void give_up(const char* why, double pause_s);
  void upgrade_records(const char* why);
  void take(Incoming incoming);
  void handle(const Incoming& incoming);
  std::optional<Heartbeat> full_heartbeat(const fanin::ForwardedHeartbeat& forwarded);
  void react();
  /// Whether the state service has confirmed the term since the process last stood still.
  bool awake();
  /// Nor will it soon: what must not wait any longer goes on.
  bool resumed();
  void answer_parked();
  void run_scheduling_cycle();
  void tick();
  void poll_record_formats();
  void push_views();
  /// s up to which we know of every cancel that users were told of, by the state service or by all peers.
  double knows_cancels_at() const;
  void note_settled();
  void check_reach();
  void finish_resigning(double until, std::function<void()> done);

  Settings settings_;
  OperatorChoices choices_;
  StateClient& state_;
  http::Client& cloud_;
  Catalog& catalog_;
  Callbacks callbacks_;
  Election election_;
  RecordFormatNegotiation record_formats_;
  std::unique_ptr<LeadershipState> leadership_;
  double dependency_barrier_at_ = -1e9;
  bool in_batch_ = false;  // what follows from its reports is looked at once, at its end
  Timer tick_timer_, cycle_timer_, retry_timer_, resign_timer_;
};

}  // namespace corkmux
