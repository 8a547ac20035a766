#include "api.h"

#include <algorithm>
#include <utility>

#include "discovery.h"
#include "kube_constants.h"
#include "request_target.h"
#include "responder.h"

namespace corkmux::kube {
namespace c = constants;

namespace {

constexpr const char* kJsonType = "application/json";
constexpr const char* kStoreUnreadable = "the state service cannot be read now";
constexpr std::size_t kMaxLimitDigits = 9;
constexpr std::size_t kMaxNumberDigits = 18;

bool all_digits(const std::string& text) { return text.find_first_not_of("0123456789") == std::string::npos; }

/// A number of the query, 0 if it is not given. nullopt: not a number.
std::optional<std::uint64_t> query_number(const std::string& text) {
  if (text.size() > kMaxNumberDigits || !all_digits(text)) return std::nullopt;
  return text.empty() ? 0 : std::stoull(text);
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
      reader_(state, status_cache),
      rng_(fresh_seed()),
      server_(loop, choices.listen, static_cast<std::size_t>(connections(settings)),
              [this](Id id, http::Request request) { serve(id, std::move(request)); }),
      feed_(loop, state, server_) {
  if (!token_file_.empty()) tokens_ = Tokens::load(token_file_);
}

std::optional<SettingsError> Api::reload_tokens() {
  if (token_file_.empty()) return std::nullopt;
  try {
    tokens_ = Tokens::load(token_file_);
    return std::nullopt;
  } catch (const SettingsError& error) {
    return error;
  }
}

// ---------------------------------------------------------------- answers

void Api::answer(const CallPtr& call, int code, const Json& body, std::vector<std::string> warnings) {
  int retry = code == 503 || code == 429 ? c::kRetryAfter : 0;
  // What is wrong with a body is told in its own words, which need not be UTF-8.
  std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  server_.respond(call->id, {code, std::move(text), retry, false, kJsonType, std::move(warnings)});
}

void Api::fail(const CallPtr& call, Failure failure) {
  if (failure.kind.empty() && !call->space.empty()) failure.kind = "jobs";
  if (failure.name.empty()) failure.name = call->name;
  answer(call, failure.code, status_object(failure));
}

void Api::fail(const CallPtr& call, int code, const char* reason, std::string message) {
  fail(call, {code, reason, std::move(message), "", "", {}, ""});
}

void Api::unavailable(const CallPtr& call, const char* why) { fail(call, 503, "ServiceUnavailable", why); }

// ---------------------------------------------------------------- routes

void Api::serve(Id id, http::Request request) {
  auto call = std::make_shared<Call>();
  call->id = id;
  call->method = request.method;
  call->body = std::move(request.body);
  call->content_type = std::move(request.content_type);
  call->table = request.accept.find("as=Table") != std::string::npos;
  call->path = target_path(request.target);
  auto query = target_query(request.target);
  if (!query) return fail(call, 400, "BadRequest", "the query is not percent-encoded");
  call->query = std::move(*query);
  // Before anything else is told; whether it is ready tells nothing.
  if (tokens_ && !is_probe(call->path)) {
    call->token = tokens_->find(request.authorization);
    if (!call->token) return fail(call, 401, "Unauthorized", "a token is needed");
  }
  if (admission_.closing()) return unavailable(call, "this controller is ending: try another");
  auto parts = split(call->path, '/');  // apis, batch, v1, namespaces, <namespace>, jobs, <name>
  bool jobs = call->path.rfind(std::string(kBatchPath) + "/namespaces/", 0) == 0 && parts.size() >= 6 &&
              parts.size() <= 7 && parts[5] == "jobs";
  if (!jobs) return serve_discovery(call);
  call->space = parts[4];
  if (parts.size() == 7) call->name = parts[6];
  serve_jobs(call);
}

void Api::serve_discovery(const CallPtr& call) {
  bool probe = is_probe(call->path);
  auto document = discovery_document(call->path);
  if (!probe && !document)
    return fail(call, 404, "NotFound", "the server could not find the requested resource");
  if (call->method != "GET") return fail(call, 405, "MethodNotAllowed", "only GET is allowed here");
  if (document) return answer(call, 200, *document);
  if (!admission_.state_reachable() || !admission_.types_known()) return unavailable(call, "not ready");
  server_.respond(call->id, {200, "ok", 0, false, "text/plain", {}});
}

bool Api::may_use_namespace(const Call& call, const Tokens::Token* token) const {
  if (!teams_.count(call.space)) return false;
  if (!tokens_) return true;
  if (!token) return false;
  return call.method == "GET" ? token->reads(call.space) : token->changes(call.space);
}

void Api::serve_jobs(const CallPtr& call) {
  const Tokens::Token* token = std::exchange(call->token, nullptr);
  // What a token may not read is as if it were not there.
  if (!may_use_namespace(*call, token))
    return fail(call, 403, "Forbidden", "not allowed in namespace " + call->space);
  if (!call->name.empty() && !valid_name(call->name))
    return fail(call, 404, "NotFound", "jobs.batch \"" + call->name + "\" not found");
  const std::string& method = call->method;
  auto flag = call->query.find("watch");
  const bool watches = flag != call->query.end() && flag->second != "false" && flag->second != "0";
  if (call->name.empty() && method == "POST") return create(call);
  if (call->name.empty() && method == "GET") return watches ? watch(call) : list(call);
  if (!call->name.empty() && method == "GET") return get(call);
  if (!call->name.empty() && method == "DELETE") return remove(call);
  fail(call, 405, "MethodNotAllowed", method + " is not served here");
}

// ---------------------------------------------------------------- read

void Api::read(const CallPtr& call, FoundCallback done) {
  reader_.read(
      call->space, call->name,
      [this, call, done = std::move(done)](std::optional<FoundObject> found, ObjectReader::Error error) {
        if (found) return done(std::move(*found));
        if (error == ObjectReader::Error::NoSuchObject)
          return fail(call, 404, "NotFound", "jobs.batch \"" + call->name + "\" not found");
        unavailable(call, kStoreUnreadable);
      });
}

void Api::get(const CallPtr& call) {
  read(call, [this, call](FoundObject found) {
    Json object = job_object(found.stored, call->space, found.progress);
    if (!call->table) return answer(call, 200, object);
    answer(call, 200,
           job_table({object}, {{"resourceVersion", object["metadata"]["resourceVersion"]}}, wall_now()));
  });
}

std::optional<Feed::Watch> Api::read_selectors(const CallPtr& call) {
  Feed::Watch watch;
  auto bad = [&](const std::string& why) {
    fail(call, 400, "BadRequest", why);
    return std::nullopt;
  };
  watch.space = call->space;
  auto labels = parse_selector(call->query["labelSelector"]);
  if (!labels) return bad("labelSelector: not a selector");
  watch.labels = std::move(*labels);
  auto fields = parse_selector(call->query["fieldSelector"]);
  if (!fields) return bad("fieldSelector: not a selector");
  for (const auto& field : *fields) {
    bool single = field.op == Requirement::Op::In && field.values.size() == 1;
    if (single && field.key == "metadata.namespace" && field.values[0] == call->space) continue;
    if (!single || field.key != "metadata.name") return bad("fieldSelector: only metadata.name= is known");
    watch.only = field.values[0];
  }
  return watch;
}

std::optional<std::size_t> Api::read_limit(const CallPtr& call) {
  const std::string& limit = call->query["limit"];
  if (limit.empty()) return c::kKubePage;
  if (limit.size() > kMaxLimitDigits || !all_digits(limit)) {
    fail(call, 400, "BadRequest", "limit: not a number");
    return std::nullopt;
  }
  auto wanted = static_cast<std::size_t>(std::stoi(limit));
  return wanted > 0 ? std::min(c::kKubePage, wanted) : c::kKubePage;
}

void Api::list_objects(const CallPtr& call, Feed::Watch filter, std::string after, std::size_t limit,
                       std::function<void(ObjectListing&)> done) {
  auto listing = std::make_shared<ObjectListing>(state_, reader_, std::move(filter));
  listing->start(std::move(after), limit,
                 {std::move(done), [this, call] { unavailable(call, kStoreUnreadable); }});
}

void Api::list(const CallPtr& call) {
  auto filter = read_selectors(call);
  if (!filter) return;
  auto limit = read_limit(call);
  if (!limit) return;
  std::string after = call->query["continue"];
  if (!after.empty()) {
    if (!valid_name(after)) return fail(call, 400, "BadRequest", "continue: not from an answer to a list");
    after = object_key(call->space, after);
  }
  list_objects(call, std::move(*filter), std::move(after), *limit,
               [this, call](const ObjectListing& listing) { answer_list(call, listing); });
}

void Api::answer_list(const CallPtr& call, const ObjectListing& listing) {
  Json metadata = {{"resourceVersion", std::to_string(listing.revision)}};
  if (listing.more) metadata["continue"] = listing.last_key.substr(objects_prefix(call->space).size());
  if (call->table) return answer(call, 200, job_table(listing.objects, metadata, wall_now()));
  answer(
      call, 200,
      {{"kind", "JobList"}, {"apiVersion", "batch/v1"}, {"metadata", metadata}, {"items", listing.objects}});
}

std::optional<Feed::Watch> Api::read_watch(const CallPtr& call) {
  auto watch = read_selectors(call);
  if (!watch) return std::nullopt;
  auto bad = [&](const char* why) {
    fail(call, 400, "BadRequest", why);
    return std::nullopt;
  };
  auto after = query_number(call->query["resourceVersion"]);
  auto seconds = query_number(call->query["timeoutSeconds"]);
  if (!after) return bad("resourceVersion: not from an answer");
  if (!seconds) return bad("timeoutSeconds: not a number");
  if (call->query.count("sendInitialEvents")) return bad("sendInitialEvents is not served");
  watch->after = *after;
  watch->bookmarks = call->query["allowWatchBookmarks"] == "true";
  double life_s = *seconds > 0 ? static_cast<double>(*seconds) : c::kKubeWatchLife;
  watch->until = steady_now() + std::min(life_s, c::kKubeWatchLife);
  return watch;
}

void Api::begin_watch(const CallPtr& call) { server_.begin(call->id, {200, "", 0, false, kJsonType, {}}); }

/// From a revision on; or first what there is, read as a list is, and then what follows.
void Api::watch(const CallPtr& call) {
  auto watch = read_watch(call);
  if (!watch) return;
  if (watch->after) {
    begin_watch(call);
    return feed_.watch(call->id, std::move(*watch));
  }
  list_objects(call, std::move(*watch), "", c::kKubePage,
               [this, call](ObjectListing& listing) { watch_after_listing(call, listing); });
}

void Api::watch_after_listing(const CallPtr& call, ObjectListing& listing) {
  begin_watch(call);
  // As long as the list itself would be, which is bounded.
  for (const auto& object : listing.objects)
    if (!server_.part(call->id, Feed::line("ADDED", object))) return;
  listing.filter.after = listing.revision;
  feed_.watch(call->id, std::move(listing.filter));
}

}  // namespace corkmux::kube
