#include "api.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "kube_constants.h"
#include "responder.h"
#include "store_keys.h"

namespace corkmux::kube {
namespace c = constants;
using codec::Write;

namespace {

constexpr const char* kJsonType = "application/json";
constexpr const char* kBatch = "/apis/batch/v1";

/// nullopt: not a percent-encoding.
std::optional<std::string> decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      out += ' ';
    } else if (text[i] != '%') {
      out += text[i];
    } else {
      auto digit = [&](std::size_t k) {
        char ch = k < text.size() ? text[k] : 'x';
        return ch >= '0' && ch <= '9'   ? ch - '0'
               : ch >= 'a' && ch <= 'f' ? ch - 'a' + 10
               : ch >= 'A' && ch <= 'F' ? ch - 'A' + 10
                                        : -1;
      };
      int high = digit(i + 1), low = digit(i + 2);
      if (high < 0 || low < 0) return std::nullopt;
      out += static_cast<char>(high * 16 + low);
      i += 2;
    }
  }
  return out;
}

std::vector<std::string> split(std::string_view text, char at) {
  std::vector<std::string> out;
  while (!text.empty()) {
    auto end = std::min(text.find(at), text.size());
    if (end) out.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(text.size(), end + 1));
  }
  return out;
}

}  // namespace

int Api::connections(const Settings& settings) {
  return std::max(8, std::min(c::kKubeConnections, settings.max_connections / c::kKubeShare));
}

Api::Api(Loop& loop, const Settings& settings, const KubernetesChoices& choices, StateClient& state,
         const JobAdmission& admission, JobStatusCache& status_cache)
    : Actor(loop),
      teams_(choices.teams),
      token_file_(choices.tokens),
      state_(state),
      admission_(admission),
      status_cache_(status_cache),
      rng_(fresh_seed()),
      server_(loop, choices.listen, static_cast<std::size_t>(connections(settings)),
              [this](Id id, http::Request r) { serve(id, std::move(r)); }),
      feed_(loop, state, server_) {
  if (!token_file_.empty()) tokens_ = Tokens::load(token_file_);
}

std::string Api::reload_tokens() {
  if (token_file_.empty()) return "";
  try {
    tokens_ = Tokens::load(token_file_);
    return "";
  } catch (const SettingsError& e) {
    return e.what();
  }
}

// ---------------------------------------------------------------- answers

void Api::answer(const CallPtr& call, int code, const Json& body, std::vector<std::string> warnings) {
  int retry = code == 503 || code == 429 ? c::kRetryAfter : 0;
  // What is wrong with a body is told in its own words, which need not be UTF-8.
  std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  server_.respond(call->id, {code, std::move(text), retry, false, kJsonType, std::move(warnings)});
}

void Api::fail(const CallPtr& call, Failure f) {
  if (f.kind.empty() && !call->space.empty()) f.kind = "jobs";
  if (f.name.empty()) f.name = call->name;
  answer(call, f.code, status_object(f));
}

void Api::unavailable(const CallPtr& call, const char* why) {
  fail(call, {503, "ServiceUnavailable", why, "", "", {}, ""});
}

std::string Api::key(const std::string& space, const std::string& name) const {
  return kKubeObjects + space + "/jobs/" + name;
}

std::string Api::random_text(int letters) {
  // As the API's own generated names: without vowels and digits that are taken for them.
  static constexpr std::string_view kLetters = "bcdfghjklmnpqrstvwxz2456789";
  std::string out;
  std::uniform_int_distribution<std::size_t> any(0, kLetters.size() - 1);
  for (int i = 0; i < letters; ++i) out += kLetters[any(rng_)];
  return out;
}

// ---------------------------------------------------------------- routes

void Api::serve(Id id, http::Request request) {
  auto call = std::make_shared<Call>();
  call->id = id, call->method = request.method;
  call->body = std::move(request.body), call->content_type = std::move(request.content_type);
  call->table = request.accept.find("as=Table") != std::string::npos;
  auto question = request.target.find('?');
  call->path = request.target.substr(0, question);
  while (call->path.size() > 1 && call->path.back() == '/') call->path.pop_back();
  if (question != std::string::npos)
    for (const auto& pair : split(std::string_view(request.target).substr(question + 1), '&')) {
      auto equals = std::min(pair.find('='), pair.size());
      auto value = decode(std::string_view(pair).substr(std::min(pair.size(), equals + 1)));
      if (!value) return fail(call, {400, "BadRequest", "the query is not percent-encoded", "", "", {}, ""});
      call->query[pair.substr(0, equals)] = *value;
    }
  // Before anything else is told; whether it is ready tells nothing.
  const bool probe = call->path == "/readyz" || call->path == "/livez" || call->path == "/healthz";
  if (tokens_ && !probe) {
    call->token = tokens_->find(request.authorization);
    if (!call->token) return fail(call, {401, "Unauthorized", "a token is needed", "", "", {}, ""});
  }
  if (admission_.closing()) return unavailable(call, "this controller is ending: try another");
  auto parts = split(call->path, '/');
  if (parts.size() >= 6 && call->path.rfind(std::string(kBatch) + "/namespaces/", 0) == 0 &&
      parts[5] == "jobs" && parts.size() <= 7) {
    call->space = parts[4];
    if (parts.size() == 7) call->name = parts[6];
    return jobs(call);
  }
  discover(call);
}

void Api::discover(const CallPtr& call) {
  const std::string& path = call->path;
  bool known = path == "/version" || path == "/api" || path == "/api/v1" || path == "/apis" ||
               path == "/apis/batch" || path == kBatch || path == "/readyz" || path == "/livez" ||
               path == "/healthz";
  if (!known)
    return fail(call, {404, "NotFound", "the server could not find the requested resource", "", "", {}, ""});
  if (call->method != "GET")
    return fail(call, {405, "MethodNotAllowed", "only GET is allowed here", "", "", {}, ""});
  if (path == "/version")
    // Clients expect all of these; most are about another program's build.
    return answer(call, 200,
                  {{"major", "1"},
                   {"minor", "28"},
                   {"gitVersion", "v1.28.0-corkmux"},
                   {"gitCommit", ""},
                   {"gitTreeState", ""},
                   {"buildDate", ""},
                   {"goVersion", ""},
                   {"compiler", ""},
                   {"platform", ""}});
  if (path == "/api") return answer(call, 200, {{"kind", "APIVersions"}, {"versions", {"v1"}}});
  if (path == "/api/v1")
    return answer(call, 200,
                  {{"kind", "APIResourceList"}, {"groupVersion", "v1"}, {"resources", Json::array()}});
  Json version = {{"groupVersion", "batch/v1"}, {"version", "v1"}};
  Json group = {{"name", "batch"}, {"versions", {version}}, {"preferredVersion", version}};
  if (path == "/apis")
    return answer(call, 200, {{"kind", "APIGroupList"}, {"apiVersion", "v1"}, {"groups", {group}}});
  if (path == "/apis/batch") {
    group["kind"] = "APIGroup", group["apiVersion"] = "v1";
    return answer(call, 200, group);
  }
  if (path == kBatch)
    return answer(call, 200,
                  {{"kind", "APIResourceList"},
                   {"apiVersion", "v1"},
                   {"groupVersion", "batch/v1"},
                   {"resources",
                    {{{"name", "jobs"},
                      {"singularName", "job"},
                      {"namespaced", true},
                      {"kind", "Job"},
                      {"verbs", {"create", "delete", "get", "list", "watch"}}}}}});
  if (!admission_.state_reachable() || !admission_.types_known()) return unavailable(call, "not ready");
  server_.respond(call->id, {200, "ok", 0, false, "text/plain", {}});
}

void Api::jobs(const CallPtr& call) {
  const bool changes = call->method != "GET";
  const Tokens::Token* token = std::exchange(call->token, nullptr);
  // What a token may not read is as if it were not there.
  bool allowed = !tokens_ || (token && (changes ? token->changes(call->space) : token->reads(call->space)));
  if (!teams_.count(call->space) || !allowed)
    return fail(call, {403, "Forbidden", "not allowed in namespace " + call->space, "", "", {}, ""});
  if (!call->name.empty() && !valid_name(call->name))
    return fail(call, {404, "NotFound", "jobs.batch \"" + call->name + "\" not found", "", "", {}, ""});
  const std::string& m = call->method;
  auto flag = call->query.find("watch");
  const bool watches = flag != call->query.end() && flag->second != "false" && flag->second != "0";
  if (call->name.empty() && m == "POST") return create(call);
  if (call->name.empty() && m == "GET") return watches ? watch(call) : list(call);
  if (!call->name.empty() && m == "GET") return get(call);
  if (!call->name.empty() && m == "DELETE") return remove(call);
  fail(call, {405, "MethodNotAllowed", m + " is not served here", "", "", {}, ""});
}

// ---------------------------------------------------------------- create

void Api::create(const CallPtr& call) {
  auto body = parse_body(call->body, call->content_type);
  if (!body.error.empty()) return fail(call, {400, "BadRequest", body.error, "", "", {}, ""});
  const Json& object = body.value;
  auto is = [&](const char* field, const char* value) {
    auto it = object.find(field);
    return it != object.end() && it->is_string() && *it == value;
  };
  if (!is("kind", "Job") || !is("apiVersion", "batch/v1"))
    return fail(call, {400, "BadRequest", "the object is not a batch/v1 Job", "", "", {}, ""});
  auto causes = check_metadata(object, call->space);
  auto translated = translate_job(object);
  causes.insert(causes.end(), translated.causes.begin(), translated.causes.end());
  const Json& metadata =
      object.contains("metadata") && object["metadata"].is_object() ? object["metadata"] : object;
  std::string given =
      metadata.contains("name") && metadata["name"].is_string() ? metadata["name"].get<std::string>() : "";
  auto invalid = [&](std::vector<Cause> why) {
    std::string text = "Job.batch \"" + given + "\" is invalid";
    for (const auto& cause : why)
      text += (&cause == &why.front() ? ": " : "; ") + cause.field + ": " + cause.message;
    fail(call, {422, "Invalid", text, given, "", std::move(why), ""});
  };
  if (!causes.empty()) return invalid(std::move(causes));
  if (!admission_.types_known()) return unavailable(call, "the machine types are not known yet");

  Stored stored;
  call->name =
      given.empty() ? metadata["generateName"].get<std::string>().substr(0, 58) + random_text(5) : given;
  std::uniform_int_distribution<std::uint64_t> any;
  // RFC 9562, version 4.
  std::uint64_t high = (any(rng_) & ~0xf000ull) | 0x4000ull, low = (any(rng_) & ~(3ull << 62)) | (2ull << 62);
  stored.uid = fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", high >> 32, (high >> 16) & 0xffff,
                           high & 0xffff, low >> 48, low & 0xffffffffffffull);
  // Not to be guessed, so no native submission has taken it; the transaction looks all the same.
  stored.job = "run-" + stored.uid;
  stored.created = wall_now();
  stored.metadata = {{"name", call->name}};
  for (const char* field : {"labels", "annotations", "generateName"})
    if (metadata.contains(field) && !metadata[field].is_null()) stored.metadata[field] = metadata[field];
  stored.spec = object.at("spec");

  JobSpec job = std::move(translated.job);
  job.id = stored.job, job.team = teams_.at(call->space);
  // Whatever the native interface would refuse is refused here, for the same reasons.
  auto checked = codec::parse_job(codec::job_to_wire(job));
  if (!checked.job) return invalid({{"spec", checked.error}});
  if (auto refused = admission_.check(*checked.job)) return invalid({{"spec", refused->text}});
  auto record = to_record(stored).dump().size();
  if (std::max(record, StoredJobRecord::for_new_job(job).size()) > admission_.record_size_limit())
    return fail(call,
                {413, "RequestEntityTooLarge", "the object is larger than a record may be", "", "", {}, ""});
  if (auto dry = call->query.find("dryRun"); dry != call->query.end()) {
    if (dry->second != "All")
      return fail(call, {400, "BadRequest", "dryRun: only All is known", "", "", {}, ""});
    return state_.get(key(call->space, call->name), [this, call, stored, translated, job](StateReply reply) {
      if (reply.ok())
        return fail(
            call, {409, "AlreadyExists", "jobs.batch \"" + call->name + "\" already exists", "", "", {}, ""});
      if (reply.status != StateStatus::Missing)
        return unavailable(call, "the state service cannot be read now");
      Progress progress;
      progress.tasks = job.tasks;
      answer(call, 201, job_object(stored, call->space, progress), translated.warnings);
    });
  }
  store(call, stored, job, translated.warnings);
}

void Api::store(const CallPtr& call, const Stored& stored, const JobSpec& job,
                const std::vector<std::string>& warnings) {
  auto at = key(call->space, call->name);
  state_.txn(
      {{at, 0}, {kJobs + job.id, 0}, {kFinals + job.id, 0}},
      {{at, to_record(stored), 0}, {kJobs + job.id, StoredJobRecord::for_new_job(job).json(), 0}},
      [this, call, stored, job, warnings](StateReply reply) {
        switch (reply.status) {
          case StateStatus::Ok: {
            Progress progress;
            progress.tasks = job.tasks, progress.revision = codec::parse_revision(reply.body);
            return answer(call, 201, job_object(stored, call->space, progress), warnings);
          }
          case StateStatus::Conflict:
            // Perhaps an earlier try of the same client whose answer was lost; it can read which it is.
            return fail(
                call,
                {409, "AlreadyExists", "jobs.batch \"" + call->name + "\" already exists", "", "", {}, ""});
          case StateStatus::Refused:
            return unavailable(call, "the state service takes no changes now: nothing was stored");
          case StateStatus::Invalid:
            return fail(call, {413,
                               "RequestEntityTooLarge",
                               "the object is larger than a record may be now",
                               "",
                               "",
                               {},
                               ""});
          default:
            return unavailable(
                call,
                "the state service did not answer, the job may have been stored: create it again, "
                "AlreadyExists then says that it was");
        }
      });
}

// ---------------------------------------------------------------- read

void Api::read_progress(Stored stored, std::uint64_t version,
                        std::function<void(std::optional<Found>)> then) {
  auto found = std::make_shared<Found>();
  found->stored = std::move(stored), found->version = version;
  found->progress.revision = version;
  const std::string job = found->stored.job;
  found->progress.tasks = tasks_of(found->stored);
  state_.get(kJobs + job, [this, job, found, then = std::move(then)](StateReply reply) {
    if (!reply.ok() && reply.status != StateStatus::Missing) return then(std::nullopt);
    if (reply.ok()) {
      auto kv = codec::parse_value(reply.body);
      if (!kv) return then(std::nullopt);
      if (kv->value.value("c", 0) == 0) {
        found->job_revision = kv->revision, found->job_record = std::move(kv->value);
        found->progress.revision = std::max(found->progress.revision, kv->revision);
        auto view = status_cache_.display(job, "queued");
        found->progress.done = view.done, found->progress.running = view.running;
        found->progress.reason = view.reason;
        return then(std::move(*found));
      }
    }
    // Its end was stored when its record went or was marked.
    state_.get(kFinals + job, [found, then](StateReply final) {
      auto kv = final.ok() ? codec::parse_value(final.body) : std::nullopt;
      if (!kv) return then(std::nullopt);
      found->progress.phase =
          kv->value.value("p", "") == "done" ? Progress::Phase::Done : Progress::Phase::Cancelled;
      found->progress.ended = kv->value.value("t", 0.0);
      found->progress.revision = std::max(found->progress.revision, kv->revision);
      then(std::move(*found));
    });
  });
}

void Api::read(const CallPtr& call, std::function<void(Found)> then) {
  state_.get(key(call->space, call->name), [this, call, then = std::move(then)](StateReply reply) {
    if (reply.status == StateStatus::Missing)
      return fail(call, {404, "NotFound", "jobs.batch \"" + call->name + "\" not found", "", "", {}, ""});
    auto kv = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
    auto stored = kv ? from_record(kv->value) : std::nullopt;
    if (!stored) return unavailable(call, "the state service cannot be read now");
    read_progress(std::move(*stored), kv->revision, [this, call, then](std::optional<Found> found) {
      if (!found) return unavailable(call, "the state service cannot be read now");
      then(std::move(*found));
    });
  });
}

void Api::get(const CallPtr& call) {
  read(call, [this, call](Found found) {
    Json object = job_object(found.stored, call->space, found.progress);
    if (!call->table) return answer(call, 200, object);
    answer(call, 200,
           job_table({object}, {{"resourceVersion", object["metadata"]["resourceVersion"]}}, wall_now()));
  });
}

struct Api::Listing {
  Feed::Watch filter;
  std::size_t most = c::kKubePage;
  std::vector<std::pair<Stored, std::uint64_t>> kept;
  std::vector<Json> objects;
  std::string last;  // key of the last record looked at
  std::uint64_t revision = 0;
  int looked = 0, reading = 0;
  std::size_t next = 0;
  bool more = false, failed = false;
  std::function<void()> pages, progress;
};

bool Api::read_selectors(const CallPtr& call, Feed::Watch& into) {
  auto bad = [&](const std::string& why) {
    fail(call, {400, "BadRequest", why, "", "", {}, ""});
    return false;
  };
  into.space = call->space;
  auto labels = parse_selector(call->query["labelSelector"]);
  if (!labels) return bad("labelSelector: not a selector");
  into.labels = std::move(*labels);
  auto fields = parse_selector(call->query["fieldSelector"]);
  if (!fields) return bad("fieldSelector: not a selector");
  for (const auto& f : *fields) {
    bool one = f.op == Requirement::Op::In && f.values.size() == 1;
    if (one && f.key == "metadata.namespace" && f.values[0] == call->space) continue;
    if (!one || f.key != "metadata.name") return bad("fieldSelector: only metadata.name= is known");
    into.only = f.values[0];
  }
  return true;
}

void Api::list(const CallPtr& call) {
  auto l = std::make_shared<Listing>();
  if (!read_selectors(call, l->filter)) return;
  const std::string prefix = kKubeObjects + call->space + "/jobs/";
  auto bad = [&](const char* why) { fail(call, {400, "BadRequest", why, "", "", {}, ""}); };
  if (auto limit = call->query["limit"]; !limit.empty()) {
    if (limit.size() > 9 || limit.find_first_not_of("0123456789") != std::string::npos)
      return bad("limit: not a number");
    if (int n = std::stoi(limit); n > 0) l->most = std::min(l->most, static_cast<std::size_t>(n));
  }
  if (auto from = call->query["continue"]; !from.empty()) {
    if (!valid_name(from)) return bad("continue: not from an answer to a list");
    l->last = prefix + from;
  }
  list_objects(call, l, [this, call, prefix](Listing& done) {
    Json metadata = {{"resourceVersion", std::to_string(done.revision)}};
    if (done.more) metadata["continue"] = done.last.substr(prefix.size());
    if (call->table) return answer(call, 200, job_table(done.objects, metadata, wall_now()));
    answer(
        call, 200,
        {{"kind", "JobList"}, {"apiVersion", "batch/v1"}, {"metadata", metadata}, {"items", done.objects}});
  });
}

/// From a revision on; or first what there is, read as a list is, and then what follows.
void Api::watch(const CallPtr& call) {
  auto l = std::make_shared<Listing>();
  Feed::Watch& w = l->filter;
  if (!read_selectors(call, w)) return;
  auto bad = [&](const char* why) { fail(call, {400, "BadRequest", why, "", "", {}, ""}); };
  auto number = [&](const char* name) -> std::optional<std::uint64_t> {
    auto text = call->query[name];
    if (text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
    return text.empty() ? 0 : std::stoull(text);
  };
  auto after = number("resourceVersion"), seconds = number("timeoutSeconds");
  if (!after) return bad("resourceVersion: not from an answer");
  if (!seconds) return bad("timeoutSeconds: not a number");
  if (call->query.count("sendInitialEvents")) return bad("sendInitialEvents is not served");
  w.after = *after;
  w.bookmarks = call->query["allowWatchBookmarks"] == "true";
  double life = *seconds > 0 ? static_cast<double>(*seconds) : c::kKubeWatchLife;
  w.until = steady_now() + std::min(life, c::kKubeWatchLife);
  auto begin = [this, call] { server_.begin(call->id, {200, "", 0, false, kJsonType, {}}); };
  if (w.after) {
    begin();
    return feed_.watch(call->id, std::move(w));
  }
  list_objects(call, l, [this, call, begin](Listing& done) {
    begin();
    // As long as the list itself would be, which is bounded.
    for (const auto& object : done.objects)
      if (!server_.part(call->id, Feed::line("ADDED", object))) return;
    done.filter.after = done.revision;
    feed_.watch(call->id, std::move(done.filter));
  });
}

/// Page after page of records from where the last answer ended, those that the selectors keep; then how each
/// of their jobs stands, a few at a time.
void Api::list_objects(const CallPtr& call, std::shared_ptr<Listing> l, std::function<void(Listing&)> then) {
  const std::string prefix = kKubeObjects + call->space + "/jobs/";
  auto unavailable_once = [this, call, l] {
    if (std::exchange(l->failed, true)) return;
    l->pages = l->progress = nullptr;
    unavailable(call, "the state service cannot be read now");
  };
  l->progress = [this, call, l, then, unavailable_once] {
    if (l->failed) return;
    if (l->next == l->kept.size() && l->reading == 0) {
      l->pages = l->progress = nullptr;
      return then(*l);
    }
    while (l->next < l->kept.size() && l->reading < c::kKubeReads) {
      std::size_t i = l->next++;
      ++l->reading;
      read_progress(l->kept[i].first, l->kept[i].second,
                    [call, l, i, unavailable_once](std::optional<Found> found) {
                      --l->reading;
                      if (!found) return unavailable_once();
                      l->objects[i] = job_object(found->stored, call->space, found->progress);
                      if (auto go_on = l->progress) go_on();  // a copy: it may end itself
                    });
    }
  };
  l->pages = [this, l, prefix, unavailable_once] {
    state_.list(prefix, l->last, static_cast<int>(std::min(l->most, c::kKubePage)),
                [l, unavailable_once](StateReply reply) {
                  if (!reply.ok()) return unavailable_once();
                  auto page = codec::parse_page(reply.body);
                  if (!l->revision) l->revision = page.revision;
                  l->more = page.more;
                  for (std::size_t i = 0; i < page.items.size(); ++i) {
                    auto& kv = page.items[i];
                    l->last = kv.key;
                    ++l->looked;
                    auto stored = from_record(kv.value);
                    if (!stored || !selects(l->filter.labels, labels_of(*stored))) continue;
                    if (!l->filter.only.empty() && stored->metadata.value("name", "") != l->filter.only)
                      continue;
                    l->kept.emplace_back(std::move(*stored), kv.revision);
                    if (l->kept.size() == l->most) {
                      l->more |= i + 1 < page.items.size();
                      break;
                    }
                  }
                  bool enough = l->kept.size() == l->most || l->looked >= c::kKubeScan;
                  if (l->more && !enough) return std::function<void()>(l->pages)();
                  l->objects.resize(l->kept.size());
                  std::function<void()>(l->progress)();
                });
  };
  std::function<void()>(l->pages)();
}

// ---------------------------------------------------------------- delete

void Api::remove(const CallPtr& call) {
  Json options = Json::object();
  if (!call->body.empty()) {
    auto body = parse_body(call->body, call->content_type);
    if (!body.error.empty()) return fail(call, {400, "BadRequest", body.error, "", "", {}, ""});
    options = std::move(body.value);
  }
  std::string policy = call->query["propagationPolicy"];
  if (policy.empty() && options.contains("propagationPolicy") && options["propagationPolicy"].is_string())
    policy = options["propagationPolicy"].get<std::string>();
  if (!policy.empty() && policy != "Background")
    return fail(call,
                {422,
                 "Invalid",
                 "propagationPolicy: only Background is served: tasks are stopped after the job is gone",
                 "",
                 "",
                 {{"propagationPolicy", "only Background is served", "FieldValueNotSupported"}},
                 ""});
  bool dry = call->query["dryRun"] == "All" || (options.contains("dryRun") && !options["dryRun"].empty());
  read(call, [this, call, options, dry](Found found) {
    if (auto p = options.find("preconditions"); p != options.end() && p->is_object()) {
      auto differs = [&](const char* field, const std::string& value) {
        return p->contains(field) && p->at(field).is_string() && p->at(field) != value;
      };
      if (differs("uid", found.stored.uid) ||
          differs("resourceVersion", std::to_string(found.progress.revision)))
        return fail(call, {409, "Conflict", "the precondition does not hold", "", "", {}, found.stored.uid});
    }
    auto gone = [this, call, uid = found.stored.uid] { fail(call, {200, "", "", "", "", {}, uid}); };
    if (dry) return gone();
    const std::string job = found.stored.job, at = key(call->space, call->name);
    std::vector<codec::Condition> conditions{{at, found.version}};
    std::vector<Write> writes{{at, std::nullopt, 0}};
    const bool unfinished = found.job_revision != 0;
    if (unfinished) {
      Json record = found.job_record;
      record["c"] = 1;
      conditions.push_back({kJobs + job, found.job_revision});
      conditions.push_back({kFinals + job, 0});
      writes.push_back({kJobs + job, std::move(record), 0});
      writes.push_back({kFinals + job, Json{{"p", "cancelled"}, {"n", 0}, {"t", wall_now()}}, 0});
    }
    state_.txn(conditions, writes, [this, call, job, unfinished, gone](StateReply reply) {
      if (reply.ok()) {
        if (unfinished) status_cache_.note_cancelled(job);
        return gone();
      }
      // It ended meanwhile, or somebody else deleted it.
      if (reply.status == StateStatus::Conflict && ++call->tries < c::kKubeTries) return remove(call);
      unavailable(call, reply.status == StateStatus::Unanswered
                            ? "the state service did not answer, the job may be gone: delete it again"
                            : "the state service takes no changes now");
    });
  });
}

}  // namespace corkmux::kube
