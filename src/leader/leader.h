// The controller that leads: it owns a term, the book and the actors that carry out what the book decides,
// from the won election until the term ends.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "catalog.h"
#include "cloud_fleet.h"
#include "cluster.h"
#include "election.h"
#include "job_feed.h"
#include "lease_watch.h"
#include "loader.h"
#include "membership.h"
#include "settings.h"
#include "settlement.h"
#include "state_client.h"
#include "store_writer.h"
#include "term.h"
#include "worker_orders.h"

namespace corkmux {

class Leader : public Actor<Leader> {
 public:
  using ReportReply = std::function<void(int status, std::string body)>;
  /// How a report came: from a worker that reaches us or one of our peers, or through the state service.
  enum class Way { Direct, Mail };
  struct Hooks {
    std::function<void(std::string label, std::uint64_t term)> leader_changed;  // empty label: none known
    std::function<void(std::vector<codec::JobView>)> views;                     // changed job displays
    OrderRelay relay;  // to the controllers that serve workers
  };
  Leader(Loop& loop, const Settings& settings, const OperatorChoices& choices, StateClient& state,
         http::Client& cloud, Catalog& catalog, Hooks hooks);
  ~Leader();
  void start();

  // Messages.
  void report(Report report, Way way, ReportReply reply);
  /// What a serving controller passes on: reports of its workers, and outcomes of orders that went through
  /// it. The reply comes once each report has its answer.
  void batch(serving::ReportBatch batch, ReportReply reply);
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
  bool leading() const { return reign_ && reign_->leading; }
  /// s of the steady clock: whatever needs a job whose cancel was told before then has its end stored. A fact
  /// that stays true whoever leads later; -1e9: nothing is known.
  double settled_at() const { return settled_at_; }

 private:
  /// A report on its way to the book.
  struct Incoming {
    Report report;
    Way way;
    std::string server;  // the controller that passed it on in a batch; empty: none did
    ReportReply reply;
  };
  struct OpenBatch;
  /// What exists only while this controller leads, in the order of construction.
  struct Reign {
    Term term;
    TermHooks hooks;
    std::unique_ptr<Cluster> book;
    std::unique_ptr<JobFeed> feed;
    std::unique_ptr<Loader> loader;
    std::unique_ptr<StoreWriter> writer;
    std::unique_ptr<WorkerOrders> orders;
    std::unique_ptr<CloudFleet> fleet;
    std::unique_ptr<LeaseWatch> leases;
    std::vector<Incoming> parked;  // reports that arrive while loading
    /// Of machines that are served by other controllers: the last report that came whole.
    std::unordered_map<std::string, Report> whole_reports;
    bool leading = false;   // loaded
    double vouched = -1e9;  // last moment up to which all peers vouched that we miss no cancel
    double last_report = 0, last_plan = -1e9, last_tick = 0, forms_asked_at = -1e9, forgot_at = -1e9;
    std::unique_ptr<Settlement> settlement;
    double settled_written = -1e9;
    bool state_away = false, asking_forms = false;
  };
  void won(const Election::Won& won);
  void load();
  void build(int first_cut, bool all_new);
  void lead(std::vector<std::string> garbage);
  void end(const char* why);
  void give_up(const char* why, double pause_s);
  void all_are_new(const char* why);
  void take(Incoming incoming);
  void handle(const Incoming& incoming);
  std::optional<Report> whole_report(const serving::ForwardedReport& forwarded);
  void react();
  /// Whether the state service has confirmed the term since the process last stood still.
  bool awake();
  /// Nor will it soon: what must not wait any longer goes on.
  bool resumed();
  void answer_parked();
  void run_plan();
  void tick();
  void ask_forms();
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
  Hooks hooks_;
  Election election_;
  Membership membership_;
  std::unique_ptr<Reign> reign_;
  double settled_at_ = -1e9;
  bool in_batch_ = false;  // what follows from its reports is looked at once, at its end
  Timer tick_timer_, plan_timer_, retry_timer_, resign_timer_;
};

}  // namespace corkmux
