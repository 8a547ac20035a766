// The Kubernetes API's Jobs over HTTP. What was submitted is stored together with the job that it became, in
// one transaction; every answer is read from the store, so any controller gives the same. Below this folder
// nothing knows that such clients exist.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "feed.h"
#include "job_admission.h"
#include "job_status_cache.h"
#include "object_listing.h"
#include "object_reader.h"
#include "objects.h"
#include "selector.h"
#include "tokens.h"

namespace corkmux::kube {

class Api : public Actor<Api> {
 public:
  /// Throws std::runtime_error when the address cannot be had, SettingsError when the tokens cannot be read.
  Api(Loop& loop, const Settings& settings, const KubernetesChoices& choices, StateClient& state,
      const JobAdmission& admission, JobStatusCache& status_cache);
  /// Sockets that it may use of those for users.
  static int connections(const Settings& settings);
  void start() { feed_.start(); }
  void close() {
    server_.close();
    feed_.close();
  }
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
    std::string space;  // namespace; empty: the request is about none
    std::string name;   // of an object; empty: the request is about none
    std::string body;
    std::string content_type;
    std::map<std::string, std::string> query;
    bool table = false;                    // the client asks for a table
    const Tokens::Token* token = nullptr;  // valid while the request is being routed only
    int tries = 0;
  };
  using CallPtr = std::shared_ptr<Call>;
  /// A submission that was checked, ready to be stored.
  struct Submission {
    Stored stored;
    JobSpec job;
    std::vector<std::string> warnings;
  };

  // --- routes ---
  void serve(Id id, http::Request request);
  void serve_discovery(const CallPtr& call);
  void serve_jobs(const CallPtr& call);
  bool may_use_namespace(const Call& call, const Tokens::Token* token) const;

  // --- create ---
  void create(const CallPtr& call);
  /// The name that the object asks for, or one that is made from its generateName.
  std::string object_name(const Json& metadata);
  Stored make_stored(const Json& object, const Json& metadata, const std::string& name);
  /// Answers if the job cannot be accepted.
  bool check_admission(const CallPtr& call, const Submission& submission, const std::string& given_name);
  void fail_invalid(const CallPtr& call, const std::string& given_name, std::vector<Cause> causes);
  void fail_exists(const CallPtr& call);
  void create_dry(const CallPtr& call, const Submission& submission);
  void store(const CallPtr& call, const Submission& submission);
  void on_stored(const CallPtr& call, const Submission& submission, const StateReply& reply);

  // --- read ---
  using FoundCallback = std::function<void(FoundObject)>;
  /// Answers if there is no such object, or it cannot be read.
  void read(const CallPtr& call, FoundCallback done);
  void get(const CallPtr& call);
  void list(const CallPtr& call);
  /// nullopt: answered, since something of the request is wrong. All three are so.
  std::optional<Feed::Watch> read_selectors(const CallPtr& call);
  std::optional<std::size_t> read_limit(const CallPtr& call);
  std::optional<Feed::Watch> read_watch(const CallPtr& call);
  void answer_list(const CallPtr& call, const ObjectListing& listing);
  void watch(const CallPtr& call);
  void begin_watch(const CallPtr& call);
  void watch_after_listing(const CallPtr& call, ObjectListing& listing);
  void list_objects(const CallPtr& call, Feed::Watch filter, std::string after, std::size_t limit,
                    std::function<void(ObjectListing&)> done);

  // --- delete ---
  void remove(const CallPtr& call);
  /// nullopt: answered, since something of the request is wrong.
  std::optional<Json> read_delete_options(const CallPtr& call);
  void remove_found(const CallPtr& call, const FoundObject& found);

  // --- answers ---
  void answer(const CallPtr& call, int code, const Json& body, std::vector<std::string> warnings = {});
  void fail(const CallPtr& call, Failure failure);
  void fail(const CallPtr& call, int code, const char* reason, std::string message);
  void unavailable(const CallPtr& call, const char* why);

  std::string random_text(int letters);
  std::string random_uid();

  std::map<std::string, std::string> teams_;  // by namespace
  std::string token_file_;
  std::optional<Tokens> tokens_;
  StateClient& state_;
  const JobAdmission& admission_;
  JobStatusCache& status_cache_;
  ObjectReader reader_;
  std::mt19937_64 rng_;
  http::Server server_;
  Feed feed_;
};

}  // namespace corkmux::kube
