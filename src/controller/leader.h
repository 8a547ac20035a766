// Election by a grant of the state service, and the work of the one that holds it: jobs, blocks, fleet.
#pragma once
#include <functional>
#include <memory>
#include <unordered_map>

#include "catalog.h"
#include "cluster.h"
#include "fleet.h"
#include "settings.h"
#include "state_client.h"

namespace corkmux {

class Leader : public Actor<Leader> {
 public:
  using ReportReply = std::function<void(int status, std::string body)>;
  /// How a report came: from a worker that reaches us or one of our peers, or through the state service.
  enum class Way { Direct, Mail };
  struct Hooks {
    std::function<void(std::string label, std::uint64_t term)> leader_changed;  // empty label: none known
    std::function<void(std::vector<codec::JobView>)> views;                     // changed job displays
  };
  Leader(Loop& loop, const Settings& settings, const OperatorChoices& choices, StateClient& state,
         http::Client& cloud, Catalog& catalog, Hooks hooks);
  ~Leader();
  void start();

  // Messages.
  /// Says in the store which form this version reads, so that a leader knows when all are new.
  void declare();
  void report(Report report, Way way, ReportReply reply);
  /// A peer saw a newer leader than us.
  void newer_term(std::uint64_t term);
  /// Peers accepted the cancel of these jobs.
  void cancelled(const std::vector<std::string>& jobs);
  /// No peer knows a cancel, up to `asked_at`, that it has not told us.
  void peers_heard(double asked_at, double youngest);
  bool leading() const { return role_ == Role::Leading; }

 private:
  enum class Role { Following, Campaigning, Loading, Leading };
  // election
  void observe();
  void watch_leader(std::uint64_t after);
  void campaign(std::uint64_t known_version);
  void won(std::uint64_t version);
  void renew();
  void verify();
  void step_down(const char* why);
  void announce(const std::string& label, std::uint64_t term);
  // loading
  void load_forms();
  void take_forms(const StateReply& reply);
  void load_jobs(const std::string& after);
  void load_records(const std::string& prefix, const std::string& after);
  void lead();
  // leading
  void watch_jobs();
  void job_event(const codec::Event& event);
  bool put_job(const codec::Json& value, std::uint64_t version);
  void job_record(const std::string& key, codec::Json value, std::uint64_t version);
  /// Reads the pieces of long job records, then goes on.
  void join_pieces(std::function<void()> then);
  void look_up_awaited();
  void all_are_new(const char* why);
  /// `largest`: bytes of the largest value in the transaction.
  void refused_as_invalid(std::size_t largest = 0);
  void react();
  void run_plan();
  void pump_writes();
  void write_shards(std::vector<ShardWrite> batch);
  void finalize(const std::string& id);
  void reread_job(const std::string& id);
  void remove_garbage();
  void flush_orders();
  void send_orders(const std::string& machine);
  void inspect(const std::string& machine);
  void handle_report(const Report& report, Way way, const ReportReply& reply);
  void tick();
  void fleet_tick();
  void rent_machines();
  void list_machines(const std::string& after);
  void return_machines();
  void rent(const RentWish& wish);
  void push_views();
  void check_reach();
  void check_leases();
  http::Client& worker(const Machine& m);
  template <typename Fn>
  auto guarded(Fn fn) {  // a callback that counts only while this term lasts
    return [this, term = epoch_, fn = std::move(fn)](auto&&... args) {
      if (term == epoch_) fn(std::forward<decltype(args)>(args)...);
    };
  }

  Settings settings_;
  OperatorChoices choices_;
  StateClient& state_;
  http::Client& cloud_;
  Catalog& catalog_;
  Hooks hooks_;
  Role role_ = Role::Following;
  std::uint64_t epoch_ = 1;  // rises with each change of role; drops old callbacks
  std::uint64_t term_ = 0, version_ = 0, grant_ = 0, jobs_revision_ = 0;
  std::string leader_;
  double vouched_ = -1e9;  // last moment up to which all peers vouched that we miss no cancel
  double contact_ = -1e9;  // last moment the state service confirmed our leadership
  double led_since_ = 0, last_report_ = 0, hold_off_until_ = 0;
  std::unique_ptr<Cluster> cluster_;
  struct Parked {
    Report report;
    Way way;
    ReportReply reply;
  };
  std::vector<Parked> parked_;  // reports that arrive while loading
  std::vector<std::string> garbage_;
  int writes_in_flight_ = 0;
  int txn_ops_ = 0;  // changes a transaction: what the settings say, less once some were refused
  bool end_next_ = false, asking_forms_ = false;
  int outcome_reads_ = 0;
  std::set<std::string> asked_outcomes_;
  double outcomes_asked_at_ = -1e9, forms_asked_at_ = -1e9;
  std::map<std::string, std::pair<codec::Json, std::uint64_t>> to_join_;  // long records and their stamps
  std::map<std::string, std::vector<std::string>> side_keys_;             // what else is stored of a job
  bool joining_ = false;
  ClusterConfig cluster_config_;
  double write_allowance_ = 0, allowance_at_ = 0;
  bool state_away_ = false, asking_keepers_ = false;
  double keepers_asked_at_ = -1e9;
  std::map<std::string, std::pair<std::uint64_t, double>> keepers_;  // record -> version, when first seen
  bool removing_ = false, deleting_ = false, listing_ = false;
  double last_list_ = -1e9;
  std::map<std::tuple<std::string, std::string, bool>, double> refused_;
  std::map<std::tuple<std::string, std::string, bool>, std::pair<std::string, int>>
      renting_;  // unsettled requests
  std::set<std::tuple<std::string, std::string, bool>> rent_in_flight_;
  int requests_ = 0;
  std::unordered_map<std::string, std::unique_ptr<http::Client>> workers_;
  Timer observe_timer_, renew_timer_, tick_timer_, fleet_timer_, plan_timer_, write_timer_, jobs_timer_,
      rent_soon_, declare_timer_;
  double last_plan_ = -1e9;
};

}  // namespace corkmux
