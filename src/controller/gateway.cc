#include "gateway.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "controller_constants.h"
#include "leader_constants.h"
#include "mutation.h"
#include "scheduler_constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
using codec::Json;
namespace {
const char* const kUnsettled = "it awaits other jobs, and whether these were cancelled is not known now";
}

Gateway::Gateway(Loop& loop, const Settings& settings, StateClient& state, Catalog& catalog, Leader& leader,
                 PeerExchange& peers, LeaseProxy& lease_proxy, StoreRelay& store_relay,
                 fanin::HeartbeatForwarder& forwarder)
    : Actor(loop),
      settings_(settings),
      state_(state),
      catalog_(catalog),
      leader_(leader),
      peer_exchange_(peers),
      lease_proxy_(lease_proxy),
      store_relay_(store_relay),
      linearizable_reader_(loop, settings, state,
                           [this](const std::string& job, LinearizableReader::Done done) {
                             read(job, [done = std::move(done)](std::optional<Found> found) {
                               if (!found) return done(std::nullopt);
                               bool unfinished = found->phase == "queued";
                               done(LinearizableReader::Standing{unfinished, found->revision, found->phase,
                                                                 found->has_dependencies()});
                             });
                           }),
      probe_(loop),
      forwarder_(forwarder),
      forget_timer_(loop),
      server_(loop, settings.listen,
              static_cast<std::size_t>(std::max(16, settings.max_connections - c::kReservedSockets)),
              [this](Id id, http::Request r) { serve(id, std::move(r)); }) {}

void Gateway::start() {
  forget_timer_.every(c::kWorkerConnectionSweepInterval, [this] { forget_worker_connections(); });
  // A controller without users must still know whether the state service serves it.
  probe_.every(c::kStateProbe, [this] {
    if (probing_ || steady_now() - state_.last_contact() < c::kStateProbe) return;
    probing_ = true;
    state_.get(kTermKey, [this](StateReply) { probing_ = false; });
  });
}

void Gateway::close() {
  closing_ = true;
  server_.close();
}

bool Gateway::state_ok() const { return steady_now() - state_.last_contact() < c::kStateLost; }

void Gateway::answer(Id id, int status, const Json& body) {
  server_.respond(id, {status, codec::pack(body), 0, false});
}
void Gateway::unavailable(Id id, const char* why) {
  server_.respond(id, {503, codec::pack(codec::error_to_wire(why)), c::kRetryAfter, false});
}

void Gateway::serve(Id id, http::Request request) {
  auto routed = codec::route(request.method, request.target);
  // Of users only; workers are still told where to go.
  if (closing_ && routed.route != codec::Route::Heartbeat)
    return unavailable(id, "this controller is ending: try another");
  switch (routed.route) {
    case codec::Route::None:
      return answer(id, 404, codec::error_to_wire("no such path"));
    case codec::Route::WrongMethod:
      return answer(id, 405, codec::error_to_wire("method not allowed here"));
    case codec::Route::Ready: {
      // In an outage all controllers lose the state service together, and users are told at once when to come
      // back. Only one that alone has lost it steps out of the way.
      double mine = state_.last_contact(), now = steady_now();
      bool alone = now - mine > c::kStateLost && peer_exchange_.peers_state_at() > mine + c::kStateLost;
      // Nor can one that has lost the others as well tell the two apart. Guards against users that keep to
      // it: for them their jobs would be forgotten.
      alone |= now - mine > c::kStateSilent && peer_exchange_.silent_for() > c::kStateSilent;
      bool ready = !catalog_.types().empty() && !alone;
      if (!ready) return unavailable(id, "not ready");
      return server_.respond(id, {200, "", 0, false});
    }
    case codec::Route::Submit:
      return submit(id, request.body);
    case codec::Route::Query:
      return query(id, routed.job);
    case codec::Route::Cancel:
      return cancel(id, routed.job, 3);
    case codec::Route::Heartbeat:
      return heartbeat(id, request.body);
  }
}

// ---------------------------------------------------------------- users

std::string Gateway::refusal(const JobSpec& job) const {
  auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                           [&](const Team& t) { return t.name == job.team; });
  if (team == settings_.teams.end()) return "unknown team";
  bool fits = false;
  for (const auto& t : catalog_.types()) {
    if (!job.allows_type(t.name)) continue;
    if (job.zone && !t.zones.empty() && std::find(t.zones.begin(), t.zones.end(), *job.zone) == t.zones.end())
      continue;
    fits |= job.need.fits(t.size);
  }
  if (!fits) return "a task fits no machine type that the job allows";
  int n = job.kind == JobKind::Array ? 1 : job.tasks;
  Resources all{job.need.cpus * n, job.need.gpus * n, job.need.memory_gb * n};
  if (!team->allows(all)) return "the job needs more than its team's limit";
  // At most half of them may be in one zone, and all of them run at once.
  if (job.spread && n > 1 && (job.one_zone || job.zone))
    return "its tasks run at once, in one zone, and must be spread over zones";
  return "";
}

void Gateway::submit(Id id, const std::string& body) {
  auto parsed = codec::unpack(body);
  if (!parsed) return answer(id, 400, codec::error_to_wire("not MessagePack"));
  auto result = codec::parse_job(*parsed);
  if (!result.job) return answer(id, 400, codec::error_to_wire(result.error));
  if (catalog_.types().empty()) return unavailable(id, "the machine types are not known yet");
  auto job = std::make_shared<JobSpec>(std::move(*result.job));
  std::string why = refusal(*job);
  if (!why.empty()) {
    // A job that was accepted stays accepted, even if the machine types have changed since.
    return known_or(id, job->id, 422, why);
  }
  if (auto f = finals_.find(job->id); f != finals_.end())
    return answer(id, 200, codec::view_to_wire(display(job->id, f->second.first), false));
  if (!job->dependencies.empty()) return check_dependencies(id, job);
  store(id, job, c::kSubmitTries);
}

/// A job that was accepted before is answered as such, whatever is wrong with its submission.
void Gateway::known_or(Id id, const std::string& job, int status, const std::string& why) {
  lookup(id, job,
         [this, id, job, status, why, known_at = peer_exchange_.dependency_barrier_at()](Found found) {
           if (found.phase.empty() && status == 503) return unavailable(id, why.c_str());
           if (found.phase.empty()) return answer(id, status, codec::error_to_wire(why));
           if (found.has_dependencies() && !settled(known_at)) return unavailable(id, kUnsettled);
           answer(id, 200, codec::view_to_wire(display(job, found.phase), false));
         });
}

void Gateway::note_accepted(const std::string& job) {
  if (accepted_.size() >= c::kFinalCache) accepted_.clear();
  accepted_.insert(job);
}

void Gateway::note_stored(const JobSpec& job, const StateReply& reply) {
  note_accepted(job.id);
  // All changes of a transaction share one revision, which is the record's stamp.
  linearizable_reader_.learn(job.id, codec::parse_revision(reply.body), !job.dependencies.empty());
}

void Gateway::check_dependencies(Id id, std::shared_ptr<JobSpec> job) {
  struct Check {
    std::vector<std::string> left;  // not looked up yet
    int reading = 0;
    bool answered = false;
    double until = 0;
    std::function<void()> go_on;
  };
  auto check = std::make_shared<Check>();
  check->until = steady_now() + c::kSubmitTime;
  for (const auto& awaited : job->dependencies) {
    if (awaited == job->id) return known_or(id, job->id, 422, "awaits: names the job itself");
    if (!accepted_.count(awaited) && !finals_.count(awaited)) check->left.push_back(awaited);
  }
  auto end = [this, id, check](auto fn) {
    if (std::exchange(check->answered, true)) return;
    check->go_on = nullptr;
    fn();
  };
  auto next = [this, id, job, check, end] {
    if (check->answered) return;
    if (check->left.empty() && check->reading == 0) return end([&] { store(id, job, c::kSubmitTries); });
    // What was found stays known, so the next try gets further.
    if (steady_now() > check->until)
      return end([&] { unavailable(id, "too many jobs to look up: try again"); });
    while (!check->left.empty() && check->reading < c::kOutcomeReads) {
      auto awaited = std::move(check->left.back());
      check->left.pop_back();
      ++check->reading;
      auto found = [this, check, awaited] {
        --check->reading;
        note_accepted(awaited);
        if (auto go_on = check->go_on) go_on();  // a copy: it may end itself
      };
      auto lost = [this, id, end] { end([&] { unavailable(id, "the state service cannot be read now"); }); };
      state_.get(kJobs + awaited, [this, id, job, awaited, found, lost, end](StateReply reply) {
        if (reply.ok()) return found();
        if (reply.status != StateStatus::Missing) return lost();
        state_.get(kFinals + awaited, [this, id, job, awaited, found, lost, end](StateReply final) {
          if (final.ok()) return found();
          if (final.status != StateStatus::Missing) return lost();
          end([&] { known_or(id, job->id, 422, "awaits: " + awaited + " was never accepted"); });
        });
      });
    }
  };
  check->go_on = next;
  next();
}

std::size_t Gateway::record_room() const { return static_cast<std::size_t>(settings_.next.value_kb * 1024); }

Json Gateway::job_record(const JobSpec& job) {
  return {{"j", codec::job_to_wire(job)}, {"c", 0}, {"t", wall_now()}};
}

/// Whoever is told that a job is cancelled counts `cancel_s` from then, so the leader has to know by another
/// way than its watch of the jobs, whose answers may be lost; also where the answer to the write that
/// cancelled it was.
void Gateway::note_cancelled(const std::string& job) {
  if (finals_.count(job)) return;
  remember_final(job, "cancelled", 0);
  peer_exchange_.accepted_cancel(job);
}

void Gateway::store(Id id, std::shared_ptr<JobSpec> job, int tries) {
  Json record = job_record(*job);
  // Before the upgrade is over another version reads only whole records, and such are still taken; nothing
  // that awaits others is submitted then.
  auto room = job->dependencies.empty() ? static_cast<std::size_t>(settings_.value_kb * 1024) : record_room();
  if (tries == 0 || record.dump().size() > room)
    return store_in_pieces(id, job, steady_now() + c::kSubmitTime);
  state_.txn({{kJobs + job->id, 0}, {kFinals + job->id, 0}}, {{kJobs + job->id, std::move(record), 0}},
             [this, id, job, tries](StateReply reply) {
               switch (reply.status) {
                 case StateStatus::Ok:
                   note_stored(*job, reply);
                   return answer(id, 201, codec::view_to_wire({job->id, "queued", 0, 0, ""}, false));
                 case StateStatus::Conflict:
                   if (mutation_enabled("a repeat of what is stored is refused"))
                     return answer(id, 422, codec::error_to_wire("planted"));
                   return known_or(id, job->id, 503, "try again");
                 case StateStatus::Refused:
                   if (tries > 1 && state_ok()) return store(id, job, tries - 1);
                   return unavailable(id, "the state service takes no changes now");
                 case StateStatus::Invalid:  // its limits have fallen
                   return store(id, job, 0);
                 default:  // it may be there
                   return known_or(id, job->id, 503, "the state service did not answer");
               }
             });
}

/// A description too long for one value: pieces of its text first, then the record that makes it a job.
/// Pieces that are there already stay, so a submission that is tried again gets further each time.
void Gateway::store_in_pieces(Id id, std::shared_ptr<JobSpec> job, double until) {
  std::string prefix = kJobs + job->id + "/";
  auto there = std::make_shared<std::set<std::string>>();
  auto each = [there](const codec::KeyValue& kv) { there->insert(kv.key); };
  state_.read_all(prefix, "", each, [this, id, job, until, prefix, there](const ReadEnd& end) {
    if (!end.ok()) return unavailable(id, "the state service cannot be read now");
    // In plain ASCII; as a JSON text of its own each byte takes at most two.
    std::string text = codec::job_to_wire(*job).dump(-1, ' ', true);
    std::size_t size = record_room() * 2 / 5;
    int n = 0;
    std::vector<codec::Write> writes;
    for (std::size_t at = 0; at < text.size(); at += size, ++n) {
      auto key = prefix + std::to_string(n);
      if (static_cast<int>(writes.size()) < settings_.next.txn_ops && !there->count(key))
        writes.push_back({key, Json{{"x", text.substr(at, size)}}, 0});
    }
    std::vector<codec::Condition> conditions{{kJobs + job->id, 0}, {kFinals + job->id, 0}};
    bool last = writes.empty();
    if (last) writes.push_back({kJobs + job->id, Json{{"x", n}, {"c", 0}, {"t", wall_now()}}, 0});
    state_.txn(conditions, writes, [this, id, job, until, last](StateReply done) {
      if (done.status == StateStatus::Conflict) return known_or(id, job->id, 503, "try again");
      if (!done.ok() || (!last && steady_now() > until))
        return unavailable(id, "the state service takes no changes now");
      if (last) {
        note_stored(*job, done);
        return answer(id, 201, codec::view_to_wire({job->id, "queued", 0, 0, ""}, false));
      }
      store_in_pieces(id, job, until);
    });
  });
}

void Gateway::read(const std::string& job, std::function<void(std::optional<Found>)> then) {
  state_.get(kJobs + job, [this, job, then = std::move(then)](StateReply reply) {
    Found found;
    if (reply.ok()) {
      auto kv = codec::parse_value(reply.body);
      if (!kv) return then(std::nullopt);
      bool cancelled = kv->value.value("c", 0) != 0;
      if (cancelled) note_cancelled(job);
      // A record too long to be written again was cancelled elsewhere, see cancel().
      found = {cancelled ? "cancelled" : "queued", kv->revision, std::move(kv->value)};
      if (cancelled || found.record.dump().size() <= record_room()) return then(std::move(found));
    }
    if (!reply.ok() && reply.status != StateStatus::Missing) return then(std::nullopt);
    state_.get(kFinals + job, [this, job, then, found = std::move(found)](StateReply final) mutable {
      if (final.ok()) {
        auto kv = codec::parse_value(final.body);
        if (!kv) return then(std::nullopt);
        auto phase = kv->value.value("p", "");
        if (phase == "cancelled") note_cancelled(job);
        remember_final(job, phase, kv->value.value("n", 0));
        return then(Found{phase, 0, Json()});
      }
      if (final.status == StateStatus::Missing) return then(std::move(found));
      then(std::nullopt);
    });
  });
}

void Gateway::lookup(Id id, const std::string& job, std::function<void(Found)> then) {
  read(job, [this, id, then = std::move(then)](std::optional<Found> found) {
    if (!found) return unavailable(id, "the state service cannot be read now");
    then(std::move(*found));
  });
}

codec::JobView Gateway::display(const std::string& job, const std::string& phase) const {
  codec::JobView out{job, phase, 0, 0, ""};
  if (auto f = finals_.find(job); f != finals_.end() && phase == f->second.first) {
    out.done = phase == "done" ? f->second.second : 0;
    return out;
  }
  if (auto v = views_.find(job); v != views_.end() && phase == "queued") {
    out = v->second;
    if (out.phase != "running") out.phase = "queued";
  }
  return out;
}

void Gateway::query(Id id, const std::string& job) {
  if (!codec::valid_job_id(job)) return answer(id, 404, codec::error_to_wire("no such job"));
  if (auto f = finals_.find(job); f != finals_.end())
    return answer(id, 200, codec::view_to_wire(display(job, f->second.first), true));
  linearizable_reader_.ask(job, [this, id, job, known_at = peer_exchange_.dependency_barrier_at()](
                                    std::optional<LinearizableReader::Standing> standing) {
    if (!standing) return unavailable(id, "the state service cannot be read now");
    if (standing->unfinished && standing->has_dependencies && !settled(known_at))
      return unavailable(id, kUnsettled);
    if (!standing->unfinished && standing->phase.empty())
      return answer(id, 404, codec::error_to_wire("no such job"));
    answer(id, 200,
           codec::view_to_wire(display(job, standing->unfinished ? "queued" : standing->phase), true));
  });
}

/// Guards against calling a job queued that can never run, since one that it needs was cancelled longer than
/// cancel_s ago ('orphaned'): its end is the leader's to store, and there may have been none, or no state
/// service, since then. What counts is what was known before the job was looked at. A leader of a former
/// version says nothing, and writes no record: then nothing is held back.
bool Gateway::settled(double known_at) {
  double now = steady_now();
  if (now - known_at < settings_.cancel_s - c::kCancelReserve) return true;
  if (!reading_barrier_ && now - barrier_read_at_ > c::kBarrierReadInterval) {
    reading_barrier_ = true;
    barrier_read_at_ = now;
    state_.get(kDependencyBarrierKey, [this](StateReply reply) {
      reading_barrier_ = false;
      auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
      if (kv)
        peer_exchange_.learn_settled(steady_now() - std::max(0.0, wall_now() - kv->value.value("t", 0.0)));
      barrier_record_ = kv ? Known::Yes : reply.status == StateStatus::Missing ? Known::No : barrier_record_;
    });
  }
  return barrier_record_ == Known::No && peer_exchange_.dependency_barrier_at() < 0;
}

bool Gateway::Found::has_dependencies() const {
  if (phase != "queued" || !record.is_object()) return false;
  auto job = record.find("j");
  return job == record.end() || !job->is_object() || job->contains("awaits");
}

void Gateway::cancel(Id id, const std::string& job, int tries, bool beside) {
  if (!codec::valid_job_id(job)) return answer(id, 404, codec::error_to_wire("no such job"));
  lookup(id, job, [this, id, job, tries, beside](Found found) {
    if (found.phase.empty()) return answer(id, 404, codec::error_to_wire("no such job"));
    if (found.phase != "queued")
      return answer(id, 200, codec::view_to_wire({job, found.phase, 0, 0, ""}, false));
    found.record["c"] = 1;
    codec::Write mark{kJobs + job, std::move(found.record), 0};
    // What the first version stored may be over a limit that has fallen since: then the cancel gets a key of
    // its own.
    if (beside) mark = {kJobs + job + "/c", Json{{"c", 1}}, 0};
    Json end = {{"p", "cancelled"}, {"n", 0}, {"t", wall_now()}};
    state_.txn({{kJobs + job, found.revision}, {kFinals + job, 0}},
               {std::move(mark), {kFinals + job, std::move(end), 0}},
               [this, id, job, tries, beside](StateReply reply) {
                 if (reply.ok()) {
                   spdlog::debug("job {} is cancelled: its user is told", job);
                   note_cancelled(job);
                   return answer(id, 200, codec::view_to_wire({job, "cancelled", 0, 0, ""}, false));
                 }
                 if (reply.status == StateStatus::Conflict && tries > 1)
                   return cancel(id, job, tries - 1, beside);
                 // It may be cancelled: seen, or tried once more while its user waits.
                 if (reply.status == StateStatus::Unanswered && tries > 1) return cancel(id, job, 1, beside);
                 if (reply.status == StateStatus::Invalid && !beside) return cancel(id, job, tries, true);
                 unavailable(id, "the state service takes no changes now");
               });
  });
}

void Gateway::remember_final(const std::string& job, const std::string& phase, int tasks) {
  if (!finals_.emplace(job, std::make_pair(phase, tasks)).second) return;
  views_.erase(job);
  linearizable_reader_.forget(job);
  final_order_.push_back(job);
  if (final_order_.size() > c::kFinalCache) {
    finals_.erase(final_order_.front());
    final_order_.pop_front();
  }
}

void Gateway::view(const codec::JobView& v) {
  // "done" and "cancelled" come only after they are stored, so they may be cached for good.
  if (v.phase == "done" || v.phase == "cancelled") return remember_final(v.id, v.phase, v.done);
  if (finals_.count(v.id)) return;
  if (views_.insert_or_assign(v.id, v).second) view_order_.push_back(v.id);
  while (view_order_.size() > c::kSummaryCache) {
    views_.erase(view_order_.front());
    view_order_.pop_front();
  }
}

}  // namespace corkmux
