// Serves the Jobs of the Kubernetes API over HTTP.
//
// A submitted object and the job that it is translated into are stored in one transaction. Every response is
// read from the state store, so all controllers give the same one. ApiServer owns the HTTP server, the tokens
// and the watch cache. No code outside src/kube depends on Kubernetes clients. Runs on the event loop's
// thread.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bearer_tokens.h"
#include "job_admission.h"
#include "job_status_cache.h"
#include "object_listing.h"
#include "object_reader.h"
#include "objects.h"
#include "random_ids.h"
#include "watch_cache.h"

namespace corkmux::kube {

inline constexpr int kMaxConnections = 600;        // sockets for Kubernetes clients
inline constexpr int kMinConnections = 8;          // sockets
inline constexpr int kConnectionDivisor = 4;       // 1 of so many sockets for users and workers
inline constexpr double kMaxWatchDuration = 1800;  // s; clients resume a watch that ended
inline constexpr int kDeleteAttempts = 3;          // per request, counting retries after conflicting changes

/// The Kubernetes API server of a controller.
class ApiServer : public Actor<ApiServer> {
 public:
  /// Throws std::runtime_error if the listen address cannot be bound, SettingsError if the token file cannot
  /// be read.
  ApiServer(Loop& loop, const Settings& settings, const KubernetesChoices& choices, StateClient& state,
            const JobAdmission& admission, JobStatusCache& status_cache);
  /// Returns the number of sockets that the API server may use. They are part of the sockets for users and
  /// workers.
  static int connections(const Settings& settings);
  /// Starts to watch the state store. Requests are served from construction on.
  void start() { watch_cache_.start(); }
  /// Stops accepting connections and ends all watches.
  void close() {
    server_.close();
    watch_cache_.close();
  }
  /// Returns whether requests are in progress.
  bool busy() const { return server_.busy(); }
  int port() const { return server_.port(); }
  /// Reloads the token file. If it is invalid, returns the error and keeps the previous tokens.
  std::optional<SettingsError> reload_tokens();

 private:
  using Id = http::Server::ConnectionId;
  /// One request, from its arrival until its response.
  struct Call {
    Id id = 0;
    std::string method;
    std::string path;
    std::string namespace_name;  // empty: the request names no namespace
    std::string name;            // of an object; empty: the request names no object
    std::string body;
    std::string content_type;
    std::map<std::string, std::string> query;
    bool wants_table = false;
    const BearerTokens::Token* token = nullptr;  // valid only during routing, before any callback
    int delete_attempts = 0;
  };
  using CallPtr = std::shared_ptr<Call>;
  /// A validated submission, ready to be stored.
  struct Submission {
    StoredObject stored;
    JobSpec job;
    std::vector<std::string> warnings;
  };

  // --- routes ---
  void serve(Id id, http::Request request);
  void serve_discovery(const CallPtr& call);
  void serve_jobs(const CallPtr& call);
  bool may_use_namespace(const Call& call, const BearerTokens::Token* token) const;

  // --- create ---
  void create(const CallPtr& call);
  /// Returns the name given in the metadata, or one generated from generateName.
  std::string object_name(const Json& metadata);
  StoredObject make_stored_object(const Json& object, const Json& metadata, const std::string& name);
  /// Returns whether the job can be accepted; if not, sends the error response.
  bool check_admission(const CallPtr& call, const Submission& submission, const std::string& given_name);
  void dry_run_create(const CallPtr& call, const Submission& submission);
  void store(const CallPtr& call, const Submission& submission);
  void on_stored(const CallPtr& call, const Submission& submission, const StateReply& reply);

  // --- read ---
  using FoundCallback = std::function<void(FoundObject)>;
  /// Reads the object of the request and passes it to `done`. If the object does not exist or cannot be read,
  /// sends the error response instead.
  void read(const CallPtr& call, FoundCallback done);
  void get(const CallPtr& call);
  void list(const CallPtr& call);
  /// The three read functions below parse the query; nullopt means that the query is invalid and that the
  /// error response has been sent.
  std::optional<ObjectFilter> read_selectors(const CallPtr& call);
  std::optional<std::size_t> read_limit(const CallPtr& call);
  std::optional<WatchCache::WatchRequest> read_watch(const CallPtr& call);
  void respond_with_list(const CallPtr& call, const ObjectPage& page);
  void watch(const CallPtr& call);
  void begin_watch(const CallPtr& call);
  void watch_after_listing(const CallPtr& call, WatchCache::WatchRequest request, const ObjectPage& page);
  using PageCallback = std::function<void(const ObjectPage&)>;
  /// Reads one page of objects and passes it to `done`. If the state store cannot be read, sends the error
  /// response instead.
  void list_objects(const CallPtr& call, ObjectFilter filter, std::string after, std::size_t limit,
                    PageCallback done);

  // --- delete ---
  void delete_object(const CallPtr& call);
  /// Parses the delete options; nullopt means that they are invalid and that the error response has been
  /// sent.
  std::optional<Json> read_delete_options(const CallPtr& call);
  void delete_found(const CallPtr& call, const FoundObject& found);
  void on_delete_failed(const CallPtr& call, StateStatus status);

  // --- responses ---
  void respond(const CallPtr& call, int code, const Json& body, std::vector<std::string> warnings = {});
  void respond_with_status(const CallPtr& call, ApiStatus status);
  void fail(const CallPtr& call, int code, const char* reason, std::string message);
  void fail_bad_request(const CallPtr& call, std::string message);
  void fail_not_found(const CallPtr& call);
  void fail_exists(const CallPtr& call);
  void fail_invalid(const CallPtr& call, const std::string& given_name, std::vector<Cause> causes);
  void fail_unavailable(const CallPtr& call, const char* why);

  std::map<std::string, std::string> teams_;  // by namespace
  std::string token_file_;
  std::optional<BearerTokens> tokens_;
  StateClient& state_;
  const JobAdmission& admission_;
  JobStatusCache& status_cache_;
  ObjectReader reader_;
  RandomIds random_ids_;
  http::Server server_;
  WatchCache watch_cache_;
};

}  // namespace corkmux::kube
