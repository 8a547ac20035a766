#include "api_server.h"

#include <algorithm>
#include <utility>

#include "discovery.h"
#include "object_keys.h"
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

/// Parses a number of the query. Returns 0 for an empty text; nullopt if it is not a number.
std::optional<std::uint64_t> query_number(const std::string& text) {
  if (text.size() > kMaxNumberDigits || !all_digits(text)) return std::nullopt;
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

int ApiServer::connections(const Settings& settings) {
  return std::clamp(settings.max_connections / kConnectionDivisor, kMinConnections, kMaxConnections);
}

ApiServer::ApiServer(Loop& loop, const Settings& settings, const KubernetesChoices& choices,
                     StateClient& state, const JobAdmission& admission, JobStatusCache& status_cache)
    : Actor(loop),
      teams_(choices.teams),
      token_file_(choices.tokens),
      state_(state),
      admission_(admission),
      status_cache_(status_cache),
      reader_(state, status_cache),
      server_(loop, choices.listen, static_cast<std::size_t>(connections(settings)),
              [this](Id id, http::Request request) { serve(id, std::move(request)); }),
      watch_cache_(loop, state, server_) {
  if (!token_file_.empty()) tokens_ = BearerTokens::load(token_file_);
}

std::optional<SettingsError> ApiServer::reload_tokens() {
  if (token_file_.empty()) return std::nullopt;
  try {
    tokens_ = BearerTokens::load(token_file_);
    return std::nullopt;
  } catch (const SettingsError& error) {
    return error;
  }
}

// ---------------------------------------------------------------- responses

void ApiServer::respond(const CallPtr& call, int code, const Json& body, std::vector<std::string> warnings) {
  int retry = code == 503 || code == 429 ? c::kRetryAfter : 0;
  // Errors about a request body quote it, and the quoted bytes need not be valid UTF-8.
  std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  server_.respond(call->id, {code, std::move(text), retry, false, kJsonType, std::move(warnings)});
}

void ApiServer::respond_with_status(const CallPtr& call, ApiStatus status) {
  if (status.kind.empty() && !call->namespace_name.empty()) status.kind = "jobs";
  if (status.name.empty()) status.name = call->name;
  respond(call, status.code, status_object(status));
}

void ApiServer::fail(const CallPtr& call, int code, const char* reason, std::string message) {
  respond_with_status(call, {.code = code, .reason = reason, .message = std::move(message)});
}

void ApiServer::fail_bad_request(const CallPtr& call, std::string message) {
  fail(call, 400, "BadRequest", std::move(message));
}

void ApiServer::fail_not_found(const CallPtr& call) {
  fail(call, 404, "NotFound", "jobs.batch \"" + call->name + "\" not found");
}

void ApiServer::fail_exists(const CallPtr& call) {
  fail(call, 409, "AlreadyExists", "jobs.batch \"" + call->name + "\" already exists");
}

void ApiServer::fail_invalid(const CallPtr& call, const std::string& given_name, std::vector<Cause> causes) {
  std::string text = "Job.batch \"" + given_name + "\" is invalid";
  const char* separator = ": ";
  for (const auto& cause : causes) {
    text += separator + cause.field + ": " + cause.message;
    separator = "; ";
  }
  respond_with_status(
      call,
      {.code = 422, .reason = "Invalid", .message = text, .name = given_name, .causes = std::move(causes)});
}

void ApiServer::fail_unavailable(const CallPtr& call, const char* why) {
  fail(call, 503, "ServiceUnavailable", why);
}

// ---------------------------------------------------------------- routes

void ApiServer::serve(Id id, http::Request request) {
  auto call = std::make_shared<Call>();
  call->id = id;
  call->method = request.method;
  call->body = std::move(request.body);
  call->content_type = std::move(request.content_type);
  call->wants_table = request.accept.find("as=Table") != std::string::npos;
  call->path = target_path(request.target);
  auto query = target_query(request.target);
  if (!query) return fail_bad_request(call, "the query is not percent-encoded");
  call->query = std::move(*query);
  // Authenticates before any other response is given. Probes need no token: readiness reveals no data.
  if (tokens_ && !is_probe(call->path)) {
    call->token = tokens_->find(request.authorization);
    if (!call->token) return fail(call, 401, "Unauthorized", "a token is needed");
  }
  if (admission_.closing()) return fail_unavailable(call, "this controller is ending: try another");
  auto parts = split(call->path, '/');  // apis, batch, v1, namespaces, <namespace>, jobs, <name>
  bool jobs = call->path.rfind(std::string(kBatchPath) + "/namespaces/", 0) == 0 && parts.size() >= 6 &&
              parts.size() <= 7 && parts[5] == "jobs";
  if (!jobs) return serve_discovery(call);
  call->namespace_name = parts[4];
  if (parts.size() == 7) call->name = parts[6];
  serve_jobs(call);
}

void ApiServer::serve_discovery(const CallPtr& call) {
  bool probe = is_probe(call->path);
  auto document = discovery_document(call->path);
  if (!probe && !document)
    return fail(call, 404, "NotFound", "the server could not find the requested resource");
  if (call->method != "GET") return fail(call, 405, "MethodNotAllowed", "only GET is allowed here");
  if (document) return respond(call, 200, *document);
  if (!admission_.state_reachable() || !admission_.types_known()) return fail_unavailable(call, "not ready");
  server_.respond(call->id, {200, "ok", 0, false, "text/plain", {}});
}

bool ApiServer::may_use_namespace(const Call& call, const BearerTokens::Token* token) const {
  if (!teams_.contains(call.namespace_name)) return false;
  if (!tokens_) return true;
  if (!token) return false;
  return call.method == "GET" ? token->reads(call.namespace_name) : token->changes(call.namespace_name);
}

void ApiServer::serve_jobs(const CallPtr& call) {
  const BearerTokens::Token* token = std::exchange(call->token, nullptr);
  // A namespace that the token may not use gets the same response as one that does not exist.
  if (!may_use_namespace(*call, token))
    return fail(call, 403, "Forbidden", "not allowed in namespace " + call->namespace_name);
  if (!call->name.empty() && !valid_name(call->name)) return fail_not_found(call);
  const std::string& method = call->method;
  auto flag = call->query.find("watch");
  const bool watches = flag != call->query.end() && flag->second != "false" && flag->second != "0";
  if (call->name.empty() && method == "POST") return create(call);
  if (call->name.empty() && method == "GET") return watches ? watch(call) : list(call);
  if (!call->name.empty() && method == "GET") return get(call);
  if (!call->name.empty() && method == "DELETE") return delete_object(call);
  fail(call, 405, "MethodNotAllowed", method + " is not served here");
}

// ---------------------------------------------------------------- read

void ApiServer::read(const CallPtr& call, FoundCallback done) {
  reader_.read(
      call->namespace_name, call->name,
      [this, call, done = std::move(done)](std::optional<FoundObject> found, ObjectReader::Error error) {
        if (found) return done(std::move(*found));
        if (error == ObjectReader::Error::NoSuchObject) return fail_not_found(call);
        fail_unavailable(call, kStoreUnreadable);
      });
}

void ApiServer::get(const CallPtr& call) {
  read(call, [this, call](FoundObject found) {
    Json object = job_object(found.stored, call->namespace_name, found.progress);
    if (!call->wants_table) return respond(call, 200, object);
    respond(call, 200,
            job_table({object}, {{"resourceVersion", object["metadata"]["resourceVersion"]}}, wall_now()));
  });
}

std::optional<ObjectFilter> ApiServer::read_selectors(const CallPtr& call) {
  auto bad_request = [&](const std::string& why) {
    fail_bad_request(call, why);
    return std::nullopt;
  };
  ObjectFilter filter;
  filter.namespace_name = call->namespace_name;
  auto labels = parse_selector(call->query["labelSelector"]);
  if (!labels) return bad_request("labelSelector: not a selector");
  filter.labels = std::move(*labels);
  auto fields = parse_selector(call->query["fieldSelector"]);
  if (!fields) return bad_request("fieldSelector: not a selector");
  for (const auto& field : *fields) {
    const bool single = field.op == Requirement::Operator::In && field.values.size() == 1;
    if (single && field.key == "metadata.namespace" && field.values[0] == call->namespace_name) continue;
    if (!single || field.key != "metadata.name")
      return bad_request("fieldSelector: only metadata.name= is known");
    filter.name = field.values[0];
    if (filter.name->empty()) filter.name.reset();
  }
  return filter;
}

std::optional<std::size_t> ApiServer::read_limit(const CallPtr& call) {
  const std::string& limit = call->query["limit"];
  if (limit.empty()) return kMaxPageObjects;
  if (limit.size() > kMaxLimitDigits || !all_digits(limit)) {
    fail_bad_request(call, "limit: not a number");
    return std::nullopt;
  }
  auto wanted = static_cast<std::size_t>(std::stoi(limit));
  return wanted > 0 ? std::min(kMaxPageObjects, wanted) : kMaxPageObjects;
}

void ApiServer::list_objects(const CallPtr& call, ObjectFilter filter, std::string after, std::size_t limit,
                             PageCallback done) {
  auto listing = std::make_shared<ObjectListing>(state_, reader_, std::move(filter));
  listing->start(std::move(after), limit,
                 {std::move(done), [this, call] { fail_unavailable(call, kStoreUnreadable); }});
}

void ApiServer::list(const CallPtr& call) {
  auto filter = read_selectors(call);
  if (!filter) return;
  auto limit = read_limit(call);
  if (!limit) return;
  std::string after = call->query["continue"];
  if (!after.empty()) {
    if (!valid_name(after)) return fail_bad_request(call, "continue: not from an answer to a list");
    after = object_key(call->namespace_name, after);
  }
  list_objects(call, std::move(*filter), std::move(after), *limit,
               [this, call](const ObjectPage& page) { respond_with_list(call, page); });
}

void ApiServer::respond_with_list(const CallPtr& call, const ObjectPage& page) {
  Json metadata = {{"resourceVersion", std::to_string(page.revision)}};
  if (page.more) metadata["continue"] = page.last_key.substr(objects_prefix(call->namespace_name).size());
  if (call->wants_table) return respond(call, 200, job_table(page.objects, metadata, wall_now()));
  respond(call, 200,
          {{"kind", "JobList"}, {"apiVersion", "batch/v1"}, {"metadata", metadata}, {"items", page.objects}});
}

std::optional<WatchCache::WatchRequest> ApiServer::read_watch(const CallPtr& call) {
  auto filter = read_selectors(call);
  if (!filter) return std::nullopt;
  auto bad_request = [&](const char* why) {
    fail_bad_request(call, why);
    return std::nullopt;
  };
  auto after = query_number(call->query["resourceVersion"]);
  auto duration_s = query_number(call->query["timeoutSeconds"]);
  if (!after) return bad_request("resourceVersion: not from an answer");
  if (!duration_s) return bad_request("timeoutSeconds: not a number");
  if (call->query.contains("sendInitialEvents")) return bad_request("sendInitialEvents is not served");
  WatchCache::WatchRequest request;
  request.filter = std::move(*filter);
  request.after = *after;
  request.bookmarks = call->query["allowWatchBookmarks"] == "true";
  const double wanted_s = *duration_s > 0 ? static_cast<double>(*duration_s) : kMaxWatchDuration;
  request.until = steady_now() + std::min(wanted_s, kMaxWatchDuration);
  return request;
}

void ApiServer::begin_watch(const CallPtr& call) {
  server_.begin(call->id, {200, "", 0, false, kJsonType, {}});
}

/// Starts a watch after the given resource version. Without one, the watch first sends the existing objects,
/// read like a list, then the changes that follow.
void ApiServer::watch(const CallPtr& call) {
  auto request = read_watch(call);
  if (!request) return;
  if (request->after) {
    begin_watch(call);
    return watch_cache_.watch(call->id, std::move(*request));
  }
  list_objects(
      call, request->filter, "", kMaxPageObjects,
      [this, call, request = *request](const ObjectPage& page) { watch_after_listing(call, request, page); });
}

void ApiServer::watch_after_listing(const CallPtr& call, WatchCache::WatchRequest request,
                                    const ObjectPage& page) {
  begin_watch(call);
  // The initial events are as large as a list response, whose size is bounded.
  for (const auto& object : page.objects)
    if (!server_.send_chunk(call->id, WatchCache::event_line("ADDED", object))) return;
  request.after = page.revision;
  watch_cache_.watch(call->id, std::move(request));
}

}  // namespace corkmux::kube
