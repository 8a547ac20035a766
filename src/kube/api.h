// The Kubernetes API's Jobs over HTTP. What was submitted is stored together with the job that it became, in
// one transaction; every answer is read from the store, so any controller gives the same. Below this folder
// nothing knows that such clients exist.
#pragma once
#include <memory>
#include <random>

#include "feed.h"
#include "job_admission.h"
#include "job_status_cache.h"
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
  /// Reads the tokens again; what was wrong with the file, and then the former ones hold. Empty: nothing.
  std::string reload_tokens();

 private:
  using Id = http::Server::ConnectionId;
  /// One request, until it is answered.
  struct Call {
    Id id = 0;
    std::string method, path, space, name, body, content_type;
    std::map<std::string, std::string> query;
    bool table = false;
    const Tokens::Token* token = nullptr;  // valid while the request is being routed only
    int tries = 0;
  };
  using CallPtr = std::shared_ptr<Call>;
  /// An object as it stands in the store.
  struct Found {
    Stored stored;
    std::uint64_t version = 0, job_revision = 0;  // of its record and its job's; 0: the job is over
    Json job_record;
    Progress progress;
  };

  void serve(Id id, http::Request request);
  void discover(const CallPtr& call);
  void jobs(const CallPtr& call);
  void create(const CallPtr& call);
  void store(const CallPtr& call, const Stored& stored, const JobSpec& job,
             const std::vector<std::string>& warnings);
  void get(const CallPtr& call);
  void list(const CallPtr& call);
  /// false: answered, since something of the request is wrong.
  bool read_selectors(const CallPtr& call, Feed::Watch& into);
  void watch(const CallPtr& call);
  struct Listing;
  void list_objects(const CallPtr& call, std::shared_ptr<Listing> listing,
                    std::function<void(Listing&)> then);
  void remove(const CallPtr& call);
  /// Reads an object's record and how its job stands; not called for one that there is not, or cannot be
  /// read.
  void read(const CallPtr& call, std::function<void(Found)> then);
  void read_progress(Stored stored, std::uint64_t version, std::function<void(std::optional<Found>)> then);

  void answer(const CallPtr& call, int code, const Json& body, std::vector<std::string> warnings = {});
  void fail(const CallPtr& call, Failure failure);
  void unavailable(const CallPtr& call, const char* why);
  std::string key(const std::string& space, const std::string& name) const;
  std::string random_text(int letters);

  std::map<std::string, std::string> teams_;  // by namespace
  std::string token_file_;
  std::optional<Tokens> tokens_;
  StateClient& state_;
  const JobAdmission& admission_;
  JobStatusCache& status_cache_;
  std::mt19937_64 rng_;
  http::Server server_;
  Feed feed_;
};

}  // namespace corkmux::kube
