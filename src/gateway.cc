#include "gateway.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
using codec::Json;

Gateway::Gateway(Loop& loop, const Settings& settings, StateClient& state, Catalog& catalog, Leader& leader,
                 Peers& peers, Keeper& keeper, Mail& mail)
    : Actor(loop),
      settings_(settings),
      state_(state),
      catalog_(catalog),
      leader_(leader),
      peers_(peers),
      keeper_(keeper),
      mail_(mail),
      probe_(loop),
      server_(loop, settings.listen,
              static_cast<std::size_t>(std::max(16, settings.max_connections - c::kReservedSockets)),
              [this](Id id, http::Request r) { serve(id, std::move(r)); }) {}

void Gateway::start() {
  // A controller without users must still know whether the state service serves it.
  probe_.every(c::kStateProbe, [this] {
    if (probing_ || steady_now() - state_.last_contact() < c::kStateProbe) return;
    probing_ = true;
    state_.get(kTermKey, [this](StateReply) { probing_ = false; });
  });
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
  switch (routed.route) {
    case codec::Route::None:
      return answer(id, 404, codec::error_to_wire("no such path"));
    case codec::Route::WrongMethod:
      return answer(id, 405, codec::error_to_wire("method not allowed here"));
    case codec::Route::Ready: {
      // In an outage all controllers lose the state service together, and users are told at once when to come
      // back. Only one that alone has lost it steps out of the way.
      double mine = state_.last_contact();
      bool alone = steady_now() - mine > c::kStateLost && peers_.peers_state_at() > mine + c::kStateLost;
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
    case codec::Route::Report:
      return report(id, request.body);
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
    return lookup(id, job->id, [this, id, why, job](std::string phase, std::uint64_t, Json) {
      if (phase.empty()) return answer(id, 422, codec::error_to_wire(why));
      answer(id, 200, codec::view_to_wire(display(job->id, phase), false));
    });
  }
  if (auto f = finals_.find(job->id); f != finals_.end())
    return answer(id, 200, codec::view_to_wire(display(job->id, f->second.first), false));
  store(id, job, c::kSubmitTries);
}

void Gateway::store(Id id, std::shared_ptr<JobSpec> job, int tries) {
  Json record = {{"j", codec::job_to_wire(*job)}, {"c", 0}, {"t", wall_now()}};
  if (record.dump().size() > settings_.value_kb * 1024)
    return answer(id, 400, codec::error_to_wire("the job's description is too large"));
  state_.txn({{kJobs + job->id, 0}, {kFinals + job->id, 0}}, {{kJobs + job->id, std::move(record), 0}},
             [this, id, job, tries](StateReply reply) {
               switch (reply.status) {
                 case StateStatus::Ok:
                   return answer(id, 201, codec::view_to_wire({job->id, "queued", 0, 0, ""}, false));
                 case StateStatus::Conflict:
                   return lookup(id, job->id, [this, id, job](std::string phase, std::uint64_t, Json) {
                     if (phase.empty()) return unavailable(id, "try again");
                     answer(id, 200, codec::view_to_wire(display(job->id, phase), false));
                   });
                 case StateStatus::Refused:
                   if (tries > 1 && state_ok()) return store(id, job, tries - 1);
                   return unavailable(id, "the state service takes no changes now");
                 default:
                   return unavailable(id, "the state service did not answer");
               }
             });
}

void Gateway::lookup(Id id, const std::string& job,
                     std::function<void(std::string, std::uint64_t, Json)> then) {
  state_.get(kJobs + job, [this, id, job, then = std::move(then)](StateReply reply) {
    if (reply.ok()) {
      auto kv = codec::parse_value(reply.body);
      if (!kv) return unavailable(id, "unreadable answer of the state service");
      bool cancelled = kv->value.value("c", 0) != 0;
      return then(cancelled ? "cancelled" : "queued", kv->version, std::move(kv->value));
    }
    if (reply.status != StateStatus::Missing) return unavailable(id, "the state service cannot be read now");
    state_.get(kFinals + job, [this, id, job, then](StateReply final) {
      if (final.ok()) {
        auto kv = codec::parse_value(final.body);
        if (!kv) return unavailable(id, "unreadable answer of the state service");
        auto phase = kv->value.value("p", "");
        remember_final(job, phase, kv->value.value("n", 0));
        return then(phase, 0, Json());
      }
      if (final.status == StateStatus::Missing) return then("", 0, Json());
      unavailable(id, "the state service cannot be read now");
    });
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
  lookup(id, job, [this, id, job](std::string phase, std::uint64_t, Json) {
    if (phase.empty()) return answer(id, 404, codec::error_to_wire("no such job"));
    answer(id, 200, codec::view_to_wire(display(job, phase), true));
  });
}

void Gateway::cancel(Id id, const std::string& job, int tries) {
  if (!codec::valid_job_id(job)) return answer(id, 404, codec::error_to_wire("no such job"));
  lookup(id, job, [this, id, job, tries](std::string phase, std::uint64_t version, Json record) {
    if (phase.empty()) return answer(id, 404, codec::error_to_wire("no such job"));
    if (phase != "queued") return answer(id, 200, codec::view_to_wire({job, phase, 0, 0, ""}, false));
    record["c"] = 1;
    int tasks = 0;
    state_.txn(
        {{kJobs + job, version}, {kFinals + job, 0}},
        {{kJobs + job, std::move(record), 0}, {kFinals + job, Json{{"p", "cancelled"}, {"n", tasks}}, 0}},
        [this, id, job, tries](StateReply reply) {
          if (reply.ok()) {
            remember_final(job, "cancelled", 0);
            peers_.accepted_cancel(job);
            return answer(id, 200, codec::view_to_wire({job, "cancelled", 0, 0, ""}, false));
          }
          if (reply.status == StateStatus::Conflict && tries > 1) return cancel(id, job, tries - 1);
          unavailable(id, "the state service takes no changes now");
        });
  });
}

void Gateway::remember_final(const std::string& job, const std::string& phase, int tasks) {
  if (!finals_.emplace(job, std::make_pair(phase, tasks)).second) return;
  views_.erase(job);
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

// ---------------------------------------------------------------- workers

void Gateway::report(Id id, const std::string& body) {
  auto pass = [this, id](int status, std::string bytes) {
    server_.respond(id, {status, std::move(bytes), 0, false});
  };
  auto parsed = codec::unpack(body);
  auto r = parsed ? codec::parse_report(*parsed) : std::nullopt;
  if (!r) return answer(id, 400, codec::error_to_wire("not a report"));
  if (leader_label_ == settings_.label)
    return leader_.tell([r = std::move(*r), pass](Leader& leader) mutable {
      leader.report(std::move(r), Leader::Way::Direct, pass);
    });
  if (leader_label_.empty()) return pass(503, "");
  double now = steady_now();
  if (visitors_.size() > 4096) visitors_.clear();
  Visitor& v = visitors_[r->machine];
  // A worker that is back soon after it was sent on could not reach the leader; we may be able to.
  // One that we know to be beyond a cut is not sent into it: a try takes the worker up to 4 s of its lease.
  bool back = now - v.redirected_at < c::kRelayWindow;
  if (back || !peers_.reachable(leader_label_)) v.relay_until = now + c::kRelayTime;
  if (now < v.relay_until) {
    auto keep = [this, pass](Report lost) {
      keeper_.tell([lost = std::move(lost), pass](Keeper& k) mutable { k.keep(std::move(lost), pass); });
    };
    auto passed_on = [this, pass, keep, lost = *r](int status, std::string bytes) mutable {
      if (status == 0) return keep(std::move(lost));
      if (status != 200) visitors_.erase(lost.machine);
      if (status == 200) keeper_.tell([name = lost.machine](Keeper& k) { k.release(name); });
      pass(status, std::move(bytes));
    };
    if (peers_.reachable(leader_label_)) return peers_.relay(leader_label_, body, std::move(passed_on));
    // Beyond a cut the state service still carries reports to the leader; only where it does not, the worker
    // is merely kept alive.
    return mail_.tell([to = leader_label_, body, passed_on = std::move(passed_on)](Mail& m) mutable {
      m.request(to, body, std::move(passed_on));
    });
  }
  v.redirected_at = now;
  pass(421, codec::pack(codec::report_to_other(leader_label_)));
}

void Gateway::relayed(const std::string& body, std::function<void(int, std::string)> reply, Leader::Way way) {
  auto parsed = codec::unpack(body);
  auto r = parsed ? codec::parse_report(*parsed) : std::nullopt;
  if (!r) return reply(400, "");
  if (leader_label_ != settings_.label) return reply(503, "");
  leader_.tell([r = std::move(*r), reply = std::move(reply), way](Leader& leader) mutable {
    leader.report(std::move(r), way, std::move(reply));
  });
}

}  // namespace corkmux
