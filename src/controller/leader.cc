#include "leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.h"
#include "keeper.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
Leader::Leader(Loop& loop, const Settings& settings, const OperatorChoices& choices, StateClient& state,
               http::Client& cloud, Catalog& catalog, Hooks hooks)
    : Actor(loop),
      settings_(settings),
      choices_(choices),
      state_(state),
      cloud_(cloud),
      catalog_(catalog),
      hooks_(std::move(hooks)),
      observe_timer_(loop),
      renew_timer_(loop),
      tick_timer_(loop),
      fleet_timer_(loop),
      plan_timer_(loop),
      write_timer_(loop),
      jobs_timer_(loop),
      rent_soon_(loop),
      declare_timer_(loop) {
  catalog_.on_change([this](const std::vector<MachineType>& types) {
    if (cluster_) cluster_->set_catalog(types);
    if (role_ == Role::Following && !observe_timer_.active()) observe();
  });
}
Leader::~Leader() = default;

void Leader::start() {
  declare();
  observe();
}

void Leader::declare() {
  auto again = [this] { declare_timer_.once(c::kFormsEvery, [this] { declare(); }); };
  std::string key = kForms + settings_.label;
  state_.get(key, [this, key, again](StateReply reply) {
    if (reply.status == StateStatus::Missing) {
      ClusterConfig config;
      config.value_kb = settings_.value_kb;
      return state_.txn({{key, 0}},
                        {{key, codec::Json{{"f", c::kForm}, {"per", config.tasks_per_shard()}}, 0}},
                        [again](StateReply done) {
                          if (!done.ok()) again();
                        });
    }
    if (!reply.ok()) again();
  });
}

// ---------------------------------------------------------------- election

void Leader::announce(const std::string& label, std::uint64_t term) {
  leader_ = label;
  hooks_.leader_changed(label, term);
}

void Leader::observe() {
  if (role_ != Role::Following) return;
  state_.get(kLeaderKey, guarded([this](StateReply reply) {
               if (reply.status == StateStatus::Missing) {
                 if (!leader_.empty()) announce("", 0);
                 if (catalog_.types().empty() || steady_now() < hold_off_until_) {
                   observe_timer_.once(0.25, [this] { observe(); });
                   return;
                 }
                 return campaign(0);
               }
               auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
               if (!kv) {
                 observe_timer_.once(0.3, [this] { observe(); });
                 return;
               }
               std::string label = kv->value.value("label", "");
               // A record in our own name is left from before a restart: it is taken over at once, under a
               // new term.
               if (label == settings_.label && !catalog_.types().empty()) return campaign(kv->version);
               announce(label, kv->value.value("term", std::uint64_t{0}));
               watch_leader(kv->version);
             }));
}

void Leader::watch_leader(std::uint64_t after) {
  state_.watch(kLeaderKey, after, c::kWatchWait, guarded([this, after](StateReply reply) {
                 if (reply.ok() && codec::parse_events(reply.body).events.empty()) return watch_leader(after);
                 observe_timer_.once(reply.ok() ? 0.0 : 0.3, [this] { observe(); });
               }));
}

void Leader::campaign(std::uint64_t known_version) {
  role_ = Role::Campaigning;
  ++epoch_;
  auto retry = [this](double after) {
    role_ = Role::Following;
    ++epoch_;
    observe_timer_.once(after, [this] { observe(); });
  };
  state_.grant(c::kGrantLife, guarded([this, known_version, retry](StateReply granted) {
                 if (!granted.ok()) return retry(0.3);
                 grant_ = codec::parse_grant(granted.body);
                 state_.get(kTermKey, guarded([this, known_version, retry](StateReply reply) {
                              std::uint64_t term = 0, version = 0;
                              if (reply.ok()) {
                                auto kv = codec::parse_value(reply.body);
                                if (!kv) return retry(0.3);
                                term = kv->value.value("n", std::uint64_t{0});
                                version = kv->version;
                              } else if (reply.status != StateStatus::Missing) {
                                return retry(0.3);
                              }
                              term_ = term + 1;
                              contact_ = steady_now();
                              state_.txn({{kLeaderKey, known_version}, {kTermKey, version}},
                                         {{kLeaderKey,
                                           codec::Json{{"label", settings_.label}, {"term", term_}}, grant_},
                                          {kTermKey, codec::Json{{"n", term_}}, 0}},
                                         guarded([this, retry](StateReply done) {
                                           if (!done.ok())
                                             return retry(done.status == StateStatus::Conflict ? 0.0 : 0.3);
                                           contact_ = done.sent_at;
                                           won(codec::parse_revision(done.body));
                                         }));
                            }));
               }));
}

void Leader::won(std::uint64_t version) {
  role_ = Role::Loading;
  ++epoch_;
  version_ = version;
  led_since_ = last_report_ = steady_now();
  spdlog::info("leading under term {}", term_);
  ClusterConfig config;
  config.report_s = settings_.report_s;
  config.lease_s = settings_.lease_s;
  config.gang_wait_s = settings_.gang_wait_s;
  config.gang_peer_s = settings_.gang_peer_s;
  config.cancel_s = settings_.cancel_s;
  config.value_kb = settings_.value_kb;
  config.record_kb = settings_.next.value_kb;
  // Smaller transactions and records than were allowed before the upgrade are allowed then as well.
  txn_ops_ = settings_.next.txn_ops;
  config.zones = settings_.zones;
  config.teams = settings_.teams;
  config.start_within = settings_.start_within;
  config.finish_within = settings_.finish_within;
  config.details = spdlog::should_log(spdlog::level::debug);
  garbage_.clear();
  writes_in_flight_ = 0;
  write_allowance_ = settings_.state_write_rps * c::kLeaderWriteShare;
  allowance_at_ = led_since_;
  removing_ = deleting_ = listing_ = false;
  last_list_ = -1e9;
  renting_.clear();
  rent_in_flight_.clear();
  refused_.clear();
  requests_ = 0;
  jobs_revision_ = 0;
  vouched_ = -1e9;
  asking_keepers_ = state_away_ = false;
  keepers_.clear();
  outcome_reads_ = 0;
  asked_outcomes_.clear();
  to_join_.clear();
  side_keys_.clear();
  joining_ = end_next_ = false;
  cluster_.reset();
  asking_forms_ = false;
  cluster_config_ = std::move(config);
  announce(settings_.label, term_);
  renew_timer_.every(c::kGrantRenew, [this] { renew(); });
  load_forms();
}

void Leader::renew() {
  state_.renew(grant_, guarded([this](StateReply reply) {
                 if (reply.ok()) contact_ = std::max(contact_, reply.sent_at);
                 if (reply.status == StateStatus::Missing) step_down("the grant ended");
               }));
}

void Leader::step_down(const char* why) {
  if (role_ == Role::Following) return;
  spdlog::warn("no longer leading: {}", why);
  role_ = Role::Following;
  ++epoch_;
  for (auto* t :
       {&renew_timer_, &tick_timer_, &fleet_timer_, &plan_timer_, &write_timer_, &jobs_timer_, &rent_soon_})
    t->stop();
  for (auto& p : std::exchange(parked_, {})) p.reply(503, "");
  workers_.clear();
  cluster_.reset();
  announce("", 0);
  observe_timer_.once(0, [this] { observe(); });
}

void Leader::verify() {
  state_.get(kLeaderKey, guarded([this](StateReply reply) {
               auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
               if (reply.status == StateStatus::Missing || (kv && kv->version != version_))
                 step_down("a worker obeys a newer leader");
             }));
}

void Leader::newer_term(std::uint64_t term) {
  if ((role_ == Role::Leading || role_ == Role::Loading) && term > term_)
    step_down("a peer knows a newer leader");
}

void Leader::cancelled(const std::vector<std::string>& jobs) {
  if (role_ != Role::Leading) return;
  for (const auto& id : jobs)
    if (Job* job = cluster_->job(id); job && !job->cancelled)
      cluster_->put_job(JobSpec(job->spec), job->version, true, steady_now());
  react();
}

void Leader::peers_heard(double asked_at, double youngest) {
  if (role_ == Role::Leading && youngest < contact_) vouched_ = std::max(vouched_, asked_at);
}

// ---------------------------------------------------------------- loading

void Leader::load_forms() {
  state_.list(kForms, "", c::kListPage, guarded([this](StateReply reply) {
                if (!reply.ok()) {
                  jobs_timer_.once(c::kRetryPause, [this] { load_forms(); });
                  return;
                }
                // How records of the first form were cut is what the first controller of this version found
                // in its settings; these may have changed since.
                std::uint64_t first = ~0ull;
                for (const auto& kv : codec::parse_page(reply.body).items)
                  if (int per = kv.value.value("per", 0); per > 0 && kv.version < first)
                    first = kv.version, cluster_config_.first_form_cut = per;
                cluster_ = std::make_unique<Cluster>(cluster_config_, term_, led_since_, term_);
                cluster_->set_catalog(catalog_.types());
                take_forms(reply);
                load_jobs("");
              }));
}

/// The upgrade is over once every controller that the settings name has said itself that it is new: a fact
/// that is stored and stays, so it holds through any change of leader.
void Leader::take_forms(const StateReply& reply) {
  std::set<std::string> old{settings_.label};
  for (const auto& p : settings_.peers) old.insert(p.label);
  for (const auto& label : readers_of_our_form(reply.body)) old.erase(label);
  if (old.empty()) all_are_new("each has said so");
}

void Leader::all_are_new(const char* why) {
  if (cluster_->second_form()) return;
  spdlog::info("all controllers read the second form of records: {}", why);
  cluster_->use_second_form();
}

bool Leader::put_job(const codec::Json& value, std::uint64_t version) {
  auto j = value.find("j");
  if (j == value.end()) return false;
  auto parsed = codec::parse_job(*j);
  if (!parsed.job) return false;
  // Nothing new is asked before all are new.
  if (!parsed.job->awaits.empty()) all_are_new("a job awaits others");
  cluster_->put_job(*parsed.job, version, value.value("c", 0) != 0, steady_now(),
                    std::max(0.0, wall_now() - value.value("t", wall_now())));
  return true;
}

void Leader::load_jobs(const std::string& after) {
  state_.list(kJobs, after, c::kListPage, guarded([this, after](StateReply reply) {
                if (!reply.ok()) {
                  jobs_timer_.once(c::kRetryPause, [this, after] { load_jobs(after); });
                  return;
                }
                auto page = codec::parse_page(reply.body);
                if (!jobs_revision_) jobs_revision_ = page.revision;
                for (auto& kv : page.items) job_record(kv.key, std::move(kv.value), kv.version);
                if (page.more && !page.items.empty()) return load_jobs(page.items.back().key);
                join_pieces([this] { load_records(kRecords, ""); });
              }));
}

/// A job's record, a piece of one that is too long for one value, or the mark of a cancel where the record
/// cannot be written again.
void Leader::job_record(const std::string& key, codec::Json value, std::uint64_t version) {
  std::string id = key.substr(std::min(kJobs.size(), key.size()));
  Job* known = nullptr;
  if (auto slash = id.find('/'); slash != std::string::npos) {
    id.resize(slash);
    known = cluster_->job(id);
    if (!known) return;  // a piece comes before its job, and is read with it
    side_keys_[id].push_back(key);
    if (value.value("c", 0)) cluster_->put_job(JobSpec(known->spec), known->version, true, steady_now());
    return;
  }
  known = cluster_->job(id);
  if (known && known->version >= version) return;
  if (value.contains("j")) {
    if (!put_job(value, version)) spdlog::error("unreadable job record {}", key);
  } else if (known) {
    cluster_->put_job(JobSpec(known->spec), version, value.value("c", 0) != 0, steady_now());
  } else {
    to_join_[id] = {std::move(value), version};
  }
}

void Leader::join_pieces(std::function<void()> then) {
  if (to_join_.empty()) {
    joining_ = false;
    return then();
  }
  joining_ = true;
  std::string id = to_join_.begin()->first, prefix = kJobs + id + "/";
  state_.list(prefix, "", c::kMaxPieces,
              guarded([this, id, prefix, then = std::move(then)](StateReply reply) {
                if (!reply.ok()) {
                  jobs_timer_.once(c::kRetryPause, [this, then] { join_pieces(then); });
                  return;
                }
                auto [value, version] = std::move(to_join_.at(id));
                to_join_.erase(id);
                std::map<int, std::string> pieces;
                auto& keys = side_keys_[id];
                keys.clear();
                for (const auto& kv : codec::parse_page(reply.body).items) {
                  keys.push_back(kv.key);
                  pieces[std::atoi(kv.key.c_str() + prefix.size())] = kv.value.value("x", "");
                }
                std::string text;
                for (const auto& [n, piece] : pieces) text += piece;
                value["j"] = codec::Json::parse(text, nullptr, false);
                if (!put_job(value, version)) spdlog::error("unreadable job record {}{}", kJobs, id);
                join_pieces(then);
              }));
}

void Leader::load_records(const std::string& prefix, const std::string& after) {
  state_.list(prefix, after, c::kListPage, guarded([this, prefix, after](StateReply reply) {
                if (!reply.ok()) {
                  jobs_timer_.once(c::kRetryPause, [this, prefix, after] { load_records(prefix, after); });
                  return;
                }
                auto page = codec::parse_page(reply.body);
                for (const auto& kv : page.items) {
                  auto loaded = cluster_->load_record(kv.key, kv.value, kv.version);
                  if (loaded == Cluster::Loaded::Garbage) garbage_.push_back(kv.key);
                  if (loaded == Cluster::Loaded::Unknown) {
                    // Guards against starting a second time what a newer version's record says is running.
                    spdlog::error("{} has a form that this version does not read", kv.key);
                    hold_off_until_ = steady_now() + settings_.lease_s;
                    state_.txn({{kLeaderKey, version_}}, {{kLeaderKey, std::nullopt, 0}}, [](StateReply) {});
                    return step_down("a newer version's records");
                  }
                }
                if (page.more && !page.items.empty()) return load_records(prefix, page.items.back().key);
                if (prefix == kRecords) return load_records(kShards, "");
                cluster_->loaded();
                lead();
              }));
}

void Leader::lead() {
  role_ = Role::Leading;
  spdlog::info("{} jobs loaded in {:.0f} ms", cluster_->jobs().size(), 1e3 * (steady_now() - led_since_));
  tick_timer_.every(0.25, [this] { tick(); });
  fleet_timer_.every(c::kFleetTick, [this] { fleet_tick(); });
  watch_jobs();
  list_machines("");
  for (auto& p : std::exchange(parked_, {})) handle_report(p.report, p.way, p.reply);
  react();
}

// ---------------------------------------------------------------- jobs

void Leader::watch_jobs() {
  state_.watch(kJobs, jobs_revision_, c::kWatchWait, guarded([this](StateReply reply) {
                 if (reply.ok()) {
                   auto events = codec::parse_events(reply.body);
                   for (const auto& e : events.events) job_event(e);
                   jobs_revision_ = std::max(jobs_revision_, events.revision);
                   watch_jobs();
                   react();
                 } else if (reply.status == StateStatus::Missing) {  // too old: read everything again
                   jobs_revision_ = 0;
                   state_.list(kJobs, "", 1000, guarded([this](StateReply all) {
                                 if (all.ok()) {
                                   auto page = codec::parse_page(all.body);
                                   jobs_revision_ = page.revision;
                                   for (auto& kv : page.items)
                                     job_record(kv.key, std::move(kv.value), kv.version);
                                   react();
                                 }
                                 jobs_timer_.once(all.ok() ? 0 : c::kRetryPause, [this] { watch_jobs(); });
                               }));
                 } else {
                   jobs_timer_.once(c::kRetryPause, [this] { watch_jobs(); });
                 }
               }));
}

void Leader::job_event(const codec::Event& e) {
  if (!e.value) return;  // only we remove records, and only of jobs that are over
  job_record(e.key, *e.value, e.version);
  if (!to_join_.empty() && !joining_) join_pieces([this] { react(); });
}

void Leader::react() {
  if (role_ != Role::Leading) return;
  for (const auto& note : cluster_->take_notes()) spdlog::info("{}", note);
  for (const auto& detail : cluster_->take_details()) spdlog::debug("{}", detail);
  if (!cluster_->unknown().empty()) look_up_awaited();
  flush_orders();
  pump_writes();
  if (cluster_->want_plan() && !plan_timer_.active()) {
    double wait = std::max(0.005, last_plan_ + c::kPassPause - steady_now());
    plan_timer_.once(wait, [this] { run_plan(); });
  }
}

void Leader::run_plan() {
  double now = last_plan_ = steady_now();
  // Without the state service nothing can be started; bids would only pile up.
  if (now - contact_ < c::kGrantLife) cluster_->plan(now);
  spdlog::debug("placed in {:.1f} ms", 1e3 * (steady_now() - now));
  react();
}

// ---------------------------------------------------------------- the store

void Leader::pump_writes() {
  double now = steady_now();
  double rate =
      (cluster_->second_form() ? settings_.next.write_rps : settings_.state_write_rps) * c::kLeaderWriteShare;
  write_allowance_ = std::min(rate, write_allowance_ + (now - allowance_at_) * rate);
  allowance_at_ = now;
  if (write_timer_.active()) return;
  auto replaced = cluster_->take_replaced();
  garbage_.insert(garbage_.end(), replaced.begin(), replaced.end());
  while (writes_in_flight_ < c::kWritesInFlight) {
    int most = std::min(txn_ops_, static_cast<int>(write_allowance_));
    if (most < 2) {
      write_timer_.once(2 / rate, [this] { pump_writes(); });
      return;
    }
    // Ends free what awaits them and launches free machines' time, so the two take turns; the rest comes
    // after.
    auto over = cluster_->finished_jobs();
    end_next_ = !end_next_;
    if (end_next_ && !over.empty()) {
      finalize(over.front());
      continue;
    }
    auto batch = cluster_->next_writes(most, over.empty() && write_allowance_ > rate / 2, now);
    if (!batch.empty()) {
      write_allowance_ -= static_cast<double>(batch.size());
      write_shards(std::move(batch));
    } else if (!over.empty()) {
      finalize(over.front());
    } else {
      break;
    }
  }
  if (writes_in_flight_ == 0 && write_allowance_ > rate / 2) remove_garbage();
}

void Leader::write_shards(std::vector<ShardWrite> batch) {
  ++writes_in_flight_;
  std::vector<codec::Condition> conditions{{kLeaderKey, version_}};
  std::vector<codec::Write> writes;
  for (const auto& w : batch) {
    conditions.push_back({w.key, w.version});
    writes.push_back({w.key, w.value, 0});
  }
  state_.txn(conditions, writes, guarded([this, batch = std::move(batch)](StateReply reply) {
               --writes_in_flight_;
               if (reply.ok()) {
                 contact_ = std::max(contact_, reply.sent_at);
                 cluster_->written(batch, codec::parse_revision(reply.body), steady_now());
                 return react();
               }
               cluster_->write_failed(batch);
               if (reply.status == StateStatus::Conflict) {
                 // An earlier write of ours, taken for lost, was applied after all: its stamps are read
                 // again, so that whichever of the two comes last fails.
                 auto failed = codec::parse_failed(reply.body);
                 if (std::count(failed.begin(), failed.end(), kLeaderKey))
                   return step_down("the leader's record changed");
                 for (const auto& w : batch) {
                   if (!std::count(failed.begin(), failed.end(), w.key)) continue;
                   ++writes_in_flight_;
                   state_.get(w.key, guarded([this, w](StateReply read) {
                                --writes_in_flight_;
                                if (read.ok()) {
                                  if (auto kv = codec::parse_value(read.body))
                                    cluster_->record_version(w, kv->version);
                                } else if (read.status == StateStatus::Missing) {
                                  cluster_->record_version(w, 0);
                                }
                                write_timer_.once(0.01, [this] { pump_writes(); });
                              }));
                 }
                 return;
               }
               if (reply.status == StateStatus::Invalid) {
                 std::size_t largest = 0;
                 for (const auto& w : batch) largest = std::max(largest, w.value.dump().size());
                 refused_as_invalid(largest);
               }
               write_timer_.once(c::kRetryPause, [this] { pump_writes(); });
             }));
}

void Leader::finalize(const std::string& id) {
  Job* job = cluster_->job(id);
  if (!job) return;
  job->finalizing = true;
  ++writes_in_flight_;
  std::vector<codec::Condition> conditions{{kLeaderKey, version_}, {kJobs + id, job->version}};
  std::vector<codec::Write> writes{{kJobs + id, std::nullopt, 0}};
  // A job whose end no cancel has stored yet: it is done, or a job that it needs was cancelled.
  bool done = !job->cancelled && !job->orphaned;
  if (!job->cancelled) {
    // Conditioned on no other end having been stored: the first to be stored stands for good.
    conditions.push_back({kFinals + id, 0});
    codec::Json end = {
        {"p", done ? "done" : "cancelled"}, {"n", done ? job->spec.tasks : 0}, {"t", wall_now()}};
    writes.push_back({kFinals + id, std::move(end), 0});
  }
  write_allowance_ -= static_cast<double>(writes.size());
  state_.txn(conditions, writes, guarded([this, id, done](StateReply reply) {
               --writes_in_flight_;
               Job* j = cluster_->job(id);
               if (reply.ok()) {
                 contact_ = std::max(contact_, reply.sent_at);
                 if (j) {
                   // Records of a job that is over say nothing any more, so they go when changes are to
                   // spare.
                   auto keys = cluster_->record_keys(*j);
                   garbage_.insert(garbage_.end(), keys.begin(), keys.end());
                   hooks_.views({{id, done ? "done" : "cancelled", j->spec.tasks, 0, ""}});
                 }
                 if (auto side = side_keys_.find(id); side != side_keys_.end()) {
                   garbage_.insert(garbage_.end(), side->second.begin(), side->second.end());
                   side_keys_.erase(side);
                 }
                 spdlog::debug("job {} is {}", id, done ? "done" : "cancelled");
                 cluster_->outcome(id, done ? Cluster::Outcome::Done : Cluster::Outcome::Cancelled,
                                   steady_now());
                 cluster_->forget_job(id);
                 return react();
               }
               if (reply.status == StateStatus::Conflict) {
                 for (const auto& key : codec::parse_failed(reply.body))
                   if (key == kLeaderKey) return step_down("the leader's record changed");
                 return reread_job(id);
               }
               if (j) j->finalizing = false;
               if (reply.status == StateStatus::Invalid) refused_as_invalid();
               write_timer_.once(c::kRetryPause, [this] { pump_writes(); });
             }));
}

/// A value that keeps to the limit so far, and not to the one to come, was refused: that one has come, which
/// the operators promise only for after the upgrade. Any other refusal proves nothing but that less is taken.
void Leader::refused_as_invalid(std::size_t largest) {
  double kb = static_cast<double>(largest) / 1024;
  if (!cluster_->second_form() && kb > settings_.next.value_kb && kb <= settings_.value_kb)
    return all_are_new("the state service has lowered its limits");
  spdlog::warn("the state service refuses a transaction as too large: smaller ones follow");
  txn_ops_ = std::max(2, txn_ops_ / 2);
  cluster_->records_refused();
}

/// How awaited jobs ended that this leader has not seen end.
void Leader::look_up_awaited() {
  double now = steady_now();
  // One that is in neither place was accepted just now: its event is on the way.
  if (now - outcomes_asked_at_ > c::kKnownJob) asked_outcomes_.clear(), outcomes_asked_at_ = now;
  for (const auto& id : cluster_->unknown()) {
    if (outcome_reads_ >= c::kOutcomeReads) return;
    if (!asked_outcomes_.insert(id).second) continue;
    ++outcome_reads_;
    state_.get(kFinals + id, guarded([this, id](StateReply reply) {
                 --outcome_reads_;
                 auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
                 if (!kv && reply.status != StateStatus::Missing) asked_outcomes_.erase(id);
                 if (kv) {
                   auto phase = kv->value.value("p", "");
                   // A record of the first version does not say when: then its dependents count from their
                   // own acceptance.
                   double at = kv->value.contains("t")
                                   ? steady_now() - std::max(0.0, wall_now() - kv->value.value("t", 0.0))
                                   : -1e9;
                   if (phase == "done" || phase == "cancelled")
                     cluster_->outcome(
                         id, phase == "done" ? Cluster::Outcome::Done : Cluster::Outcome::Cancelled, at);
                 }
                 if (reply.status == StateStatus::Refused) return;  // the tick asks again
                 react();
               }));
  }
}

void Leader::reread_job(const std::string& id) {
  ++writes_in_flight_;
  state_.get(kJobs + id, guarded([this, id](StateReply reply) {
               --writes_in_flight_;
               Job* j = cluster_->job(id);
               if (reply.status == StateStatus::Missing) {
                 cluster_->forget_job(id);  // an earlier, unanswered transaction of ours had ended it
               } else {
                 if (j) j->finalizing = false;
                 if (reply.ok())
                   if (auto kv = codec::parse_value(reply.body)) job_record(kv->key, kv->value, kv->version);
               }
               write_timer_.once(reply.ok() ? 0.01 : c::kRetryPause, [this] { pump_writes(); });
             }));
}

void Leader::remove_garbage() {
  if (removing_ || garbage_.empty()) return;
  removing_ = true;
  int n = std::min<int>(txn_ops_, static_cast<int>(garbage_.size()));
  std::vector<codec::Write> writes;
  for (int i = 0; i < n; ++i) writes.push_back({garbage_[static_cast<std::size_t>(i)], std::nullopt, 0});
  write_allowance_ -= n;
  state_.txn({{kLeaderKey, version_}}, writes, guarded([this, n](StateReply reply) {
               removing_ = false;
               if (reply.status == StateStatus::Invalid) refused_as_invalid();
               if (reply.ok()) garbage_.erase(garbage_.begin(), garbage_.begin() + n);
             }));
}

// ---------------------------------------------------------------- workers

http::Client& Leader::worker(const Machine& m) {
  auto& client = workers_[m.name];
  if (!client || client->address() != m.address)
    client = std::make_unique<http::Client>(loop_, m.address, 1, 4);
  return *client;
}

void Leader::report(Report r, Way way, ReportReply reply) {
  if (role_ == Role::Loading) {
    if (parked_.size() >= c::kParkedReports) return reply(503, "");
    parked_.push_back({std::move(r), way, std::move(reply)});
    return;
  }
  handle_report(r, way, reply);
}

void Leader::handle_report(const Report& r, Way way, const ReportReply& reply) {
  double now = steady_now();
  if (role_ != Role::Leading) return reply(503, "");
  // Mail says nothing of whether workers reach us, see check_reach().
  if (way == Way::Direct) last_report_ = now;
  // Without word from the state service we may have been replaced, and cancels go unseen: workers are kept
  // alive only as long as a cancel can still be met.
  if (now - std::max(contact_, vouched_) > cluster_->config().keepalive()) return reply(503, "");
  if (spdlog::should_log(spdlog::level::debug) && !cluster_->machine(r.machine))
    spdlog::debug("machine {} reports for the first time: {} in {}", r.machine, r.type, r.zone);
  // Guards against orders into a cut: each would wait in vain while the launches could go with this answer.
  if (way == Way::Mail) cluster_->beyond_reach(r.machine, now);
  auto result = cluster_->on_report(r, Cluster::Channel::Report, now);
  if (result.superseded) {
    reply(503, "");
    return verify();
  }
  cluster_->answered(r.machine, now);
  reply(200, codec::pack(codec::commands_to_wire(result.token, result.commands, std::nullopt)));
  react();
}

void Leader::flush_orders() {
  for (const auto& name : cluster_->with_orders()) send_orders(name);
}

void Leader::send_orders(const std::string& name) {
  auto orders = std::make_shared<Orders>(cluster_->take_orders(name, steady_now()));
  const Machine& m = *cluster_->machine(name);
  auto body = codec::pack(codec::commands_to_wire(orders->token, orders->commands, orders->session));
  worker(m).request("POST", codec::kOrdersPath, std::move(body), c::kOrdersTimeout,
                    guarded([this, name, orders](http::Result r) {
                      double now = steady_now();
                      using Outcome = Cluster::OrdersOutcome;
                      auto outcome = r.status == 200   ? Outcome::Executed
                                     : r.status == 409 ? Outcome::Refused
                                     : !r.sent         ? Outcome::Unsent
                                                       : Outcome::Unanswered;
                      cluster_->orders_done(name, *orders, outcome, now);
                      if (r.status == 200 || r.status == 409)
                        if (auto parsed = codec::unpack(r.body))
                          if (auto report = codec::parse_report(*parsed))
                            cluster_->on_report(*report, Cluster::Channel::Orders, now);
                      react();
                    }));
}

void Leader::inspect(const std::string& name) {
  const Machine& m = *cluster_->machine(name);
  worker(m).request("GET", "/inspect", "", c::kOrdersTimeout, guarded([this](http::Result r) {
                      if (!r.ok()) return;
                      if (auto parsed = codec::unpack(r.body))
                        if (auto report = codec::parse_report(*parsed))
                          cluster_->on_report(*report, Cluster::Channel::Orders, steady_now());
                      react();
                    }));
}

// ---------------------------------------------------------------- time

void Leader::tick() {
  bool away = steady_now() - contact_ > c::kGrantLife;
  if (away != state_away_) {
    state_away_ = away;
    spdlog::warn(away ? "the state service is away: tasks are kept alive, nothing new is started"
                      : "the state service is back");
  }
  if (!cluster_->second_form() && !asking_forms_ && steady_now() - forms_asked_at_ > c::kFormsEvery) {
    asking_forms_ = true;
    forms_asked_at_ = steady_now();
    state_.list(kForms, "", c::kListPage, guarded([this](StateReply reply) {
                  asking_forms_ = false;
                  if (reply.ok()) take_forms(reply);
                }));
  }
  cluster_->tick(steady_now());
  for (auto it = workers_.begin(); it != workers_.end();)
    it = cluster_->machine(it->first) || it->second->busy() ? std::next(it) : workers_.erase(it);
  push_views();
  check_leases();
  check_reach();
  if (role_ != Role::Leading) return;
  react();
}

void Leader::check_leases() {
  auto lapsed = cluster_->lapsed(steady_now());
  bool look = cluster_->any_silent() && steady_now() - keepers_asked_at_ > c::kKeepersEvery;
  if ((lapsed.empty() && !look) || asking_keepers_) return;
  keepers_asked_at_ = steady_now();
  // Guards against a second start: the read begins after the leases are over, so a keeper whose record it
  // does not show cannot have answered in time.
  asking_keepers_ = true;
  state_.list(kKeeperPrefix, "", c::kListPage, guarded([this, lapsed](StateReply reply) {
                asking_keepers_ = false;
                if (!reply.ok()) return;
                double now = steady_now(), span = keeper_span(settings_.lease_s);
                std::map<std::string, double> kept;
                for (const auto& kv : codec::parse_page(reply.body).items) {
                  auto& [version, first_seen] = keepers_[kv.key];
                  if (version != kv.version) version = kv.version, first_seen = now;
                  for (const auto& name : Keeper::machines_in(kv.value))
                    kept[name] = std::max(kept[name], first_seen + span);
                }
                for (const auto& [name, until] : kept) cluster_->kept(name, until);
                auto still = cluster_->lapsed(now);
                for (const auto& name : lapsed)
                  if (std::find(still.begin(), still.end(), name) != still.end())
                    cluster_->lease_over(name, now);
                react();
              }));
}

void Leader::check_reach() {
  // Guards against a leader that has the state service but no worker: with several machines up, no report at
  // all for much longer than an interval means that the network to us is cut. Another must lead before the
  // workers' leases run out. A new leader gives the workers time to find it first.
  double now = steady_now();
  double patience = c::kUnheardReports * settings_.report_s + 1;
  double since = std::max(last_report_, led_since_ + c::kOrdersTimeout);
  if (now - since < patience || now - contact_ > c::kGrantLife) return;
  int up = 0;
  for (const auto& [name, m] : cluster_->machines()) up += m.up && !m.doomed;
  if (up < c::kUnheardMachines) return;
  hold_off_until_ = now + settings_.lease_s / 2;
  state_.txn({{kLeaderKey, version_}}, {{kLeaderKey, std::nullopt, 0}}, [](StateReply) {});
  step_down("no worker reaches us");
}

void Leader::push_views() {
  std::vector<codec::JobView> views;
  for (const auto& id : cluster_->take_changed())
    if (const Job* job = cluster_->job(id)) {
      int running = cluster_->running(*job);
      views.push_back({id, running ? "running" : "queued", job->done, running, cluster_->reason(*job)});
    }
  if (!views.empty()) hooks_.views(std::move(views));
}

// ---------------------------------------------------------------- fleet

void Leader::fleet_tick() {
  double now = steady_now();
  return_machines();
  if (now - last_list_ > c::kListEvery) list_machines("");
  rent_machines();
}

void Leader::rent_machines() {
  double now = steady_now();
  if (now - led_since_ < 1.25 * settings_.report_s) return;  // first hear from what is there
  auto plan = plan_fleet(*cluster_, choices_, refused_, now);
  int n = 0;
  for (const auto& [key, request] : renting_) {
    if (rent_in_flight_.count(key)) continue;
    rent({std::get<0>(key), std::get<1>(key), std::get<2>(key), request.second});
    if (++n >= c::kRentsAtOnce) return;
  }
  for (const auto& wish : plan.rent) {
    if (renting_.count(wish.key())) continue;
    rent(wish);
    if (++n >= c::kRentsAtOnce) break;  // the cloud's rate is shared with lists and returns
  }
  for (const auto& name : plan.give_back) {
    spdlog::info("machine {} is idle beyond the headroom: returned", name);
    cluster_->doom(name, now);
  }
}

void Leader::rent(const RentWish& wish) {
  auto [it, fresh] = renting_.try_emplace(wish.key());
  // A request without an answer is repeated under its name, so that nothing is rented twice.
  if (fresh) it->second = {"r-" + std::to_string(term_) + "-" + std::to_string(++requests_), wish.count};
  auto [request, count] = it->second;
  rent_in_flight_.insert(wish.key());
  cloud_.request("POST", codec::kRentPath,
                 codec::pack(codec::rent_request(request, wish.type, wish.zone, wish.spot, count)),
                 c::kCloudTimeout, guarded([this, wish, count](http::Result r) {
                   double now = steady_now();
                   rent_in_flight_.erase(wish.key());
                   rent_soon_.once(0.05, [this] { rent_machines(); });
                   auto body = codec::unpack(r.body);
                   if (r.ok() && body) {
                     auto names = codec::parse_rented(*body);
                     renting_.erase(wish.key());
                     for (const auto& name : names)
                       cluster_->rented(name, wish.type, wish.zone, wish.spot, now);
                     if (static_cast<int>(names.size()) < count)
                       refused_[wish.key()] = now + c::kNoCapacityPause;
                     spdlog::info("rented {} {} machines in {}{}", names.size(), wish.type, wish.zone,
                                  wish.spot ? ", spot" : "");
                   } else if (r.status == 503 || r.status == 400) {
                     renting_.erase(wish.key());
                     bool full = body && codec::is_no_capacity(*body);
                     refused_[wish.key()] = now + (full ? c::kNoCapacityPause : 2.0);
                   } else if (r.status == 429) {
                     renting_.erase(wish.key());
                   }
                 }));
}

void Leader::return_machines() {
  if (deleting_) return;
  auto names = cluster_->doomed();
  if (names.empty()) return;
  if (names.size() > c::kMaxDelete) names.resize(c::kMaxDelete);
  deleting_ = true;
  cloud_.request("POST", codec::kDeletePath, codec::pack(codec::delete_request(names)), c::kCloudTimeout,
                 guarded([this, names](http::Result r) {
                   deleting_ = false;
                   if (r.ok()) cluster_->deleted(names, steady_now());
                   react();
                 }));
}

void Leader::list_machines(const std::string& after) {
  if (after.empty()) {
    if (listing_) return;
    listing_ = true;
    last_list_ = steady_now();
  }
  cloud_.request("GET", codec::list_path(after, 200), "", c::kCloudTimeout, guarded([this](http::Result r) {
                   double now = steady_now();
                   auto body = r.ok() ? codec::unpack(r.body) : std::nullopt;
                   listing_ = false;
                   if (!body) return;
                   auto list = codec::parse_machines(*body);
                   cluster_->listed(list.machines, now);
                   // After a change of leader the machines are looked up at once, before their workers have
                   // found us.
                   if (now - led_since_ < settings_.lease_s)
                     for (const auto& l : list.machines)
                       if (const Machine* m = cluster_->machine(l.name);
                           m && !m->up && !m->doomed && l.phase == ListedMachine::Phase::Running)
                         inspect(l.name);
                   if (list.more && !list.machines.empty()) list_machines(list.machines.back().name);
                   react();
                 }));
}

}  // namespace corkmux
