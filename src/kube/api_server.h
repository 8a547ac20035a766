// The Kubernetes API's Jobs over HTTP.
//
// What was submitted is stored together with the job that it became, in one transaction; every answer is read
// from the store, so any controller gives the same. Owns the server, the tokens and the watch cache. Below
// this folder nothing knows that such clients exist. Used on the loop's thread.
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

inline constexpr int kMaxConnections = 600;        // sockets for Kubernetes-style clients
inline constexpr int kMinConnections = 8;          // sockets
inline constexpr int kConnectionShare = 4;         // of all sockets for users and workers, one in so many
inline constexpr double kMaxWatchDuration = 1800;  // s; clients take a watch up again
inline constexpr int kDeleteAttempts = 3;          // of a delete that met a change

class ApiServer : public Actor<ApiServer> {
 public:
  /// Throws std::runtime_error when the address cannot be had, SettingsError when the tokens cannot be read.
  ApiServer(Loop& loop, const Settings& settings, const KubernetesChoices& choices, StateClient& state,
            const JobAdmission& admission, JobStatusCache& status_cache);
  /// Sockets that it may use, of those that users and workers have otherwise.
  static int connections(const Settings& settings);
  /// Starts to follow the store; requests are served from the construction on.
  void start() { watch_cache_.start(); }
  /// Takes no more connections, and ends all watches.
  void close() {
    server_.close();
    watch_cache_.close();
  }
  /// Whether requests are under way.
  bool busy() const { return server_.busy(); }
  int port() const { return server_.port(); }
  /// Reads the tokens again. Returns what is wrong with the file, if anything; then the former ones hold.
  std::optional<SettingsError> reload_tokens();

 private:
  using Id = http::Server::ConnectionId;
  /// One request, until it is answered.
  struct Call {
    Id id = 0;
    std::string method;
    std::string path;
    std::string namespace_name;  // empty: the request is about none
    std::string name;            // of an object; empty: the request is about none
    std::string body;
    std::string content_type;
    std::map<std::string, std::string> query;
    bool wants_table = false;
    const BearerTokens::Token* token = nullptr;  // valid only while the request is being routed
    int delete_attempts = 0;
  };
  using CallPtr = std::shared_ptr<Call>;
  /// A submission that was checked, ready to be stored.
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
  /// The name that the object asks for, or one that is made from its generateName.
  std::string object_name(const Json& metadata);
  StoredObject make_stored(const Json& object, const Json& metadata, const std::string& name);
  /// Answers if the job cannot be accepted.
  bool check_admission(const CallPtr& call, const Submission& submission, const std::string& given_name);
  void dry_run_create(const CallPtr& call, const Submission& submission);
  void store(const CallPtr& call, const Submission& submission);
  void on_stored(const CallPtr& call, const Submission& submission, const StateReply& reply);

  // --- read ---
  using FoundCallback = std::function<void(FoundObject)>;
  /// Answers if there is no such object, or it cannot be read.
  void read(const CallPtr& call, FoundCallback done);
  void get(const CallPtr& call);
  void list(const CallPtr& call);
  /// nullopt: answered, since something of the request is wrong. All three are so.
  std::optional<ObjectFilter> read_selectors(const CallPtr& call);
  std::optional<std::size_t> read_limit(const CallPtr& call);
  std::optional<WatchCache::WatchRequest> read_watch(const CallPtr& call);
  void answer_list(const CallPtr& call, const ObjectPage& page);
  void watch(const CallPtr& call);
  void begin_watch(const CallPtr& call);
  void watch_after_listing(const CallPtr& call, WatchCache::WatchRequest request, const ObjectPage& page);
  using PageCallback = std::function<void(const ObjectPage&)>;
  /// Answers if the objects cannot be read.
  void list_objects(const CallPtr& call, ObjectFilter filter, std::string after, std::size_t limit,
                    PageCallback done);

  // --- delete ---
  void delete_object(const CallPtr& call);
  /// nullopt: answered, since something of the request is wrong.
  std::optional<Json> read_delete_options(const CallPtr& call);
  void delete_found(const CallPtr& call, const FoundObject& found);
  void on_delete_failed(const CallPtr& call, StateStatus status);

  // --- answers ---
  void answer(const CallPtr& call, int code, const Json& body, std::vector<std::string> warnings = {});
  void answer_status(const CallPtr& call, ApiStatus status);
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
