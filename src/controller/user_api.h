// What users ask of a controller: submit, query and cancel jobs. Owns the reads that wait; every answer rests
// on the state store, so any controller gives the same. Decides nothing about scheduling and speaks to no
// leader.
#pragma once
#include <memory>
#include <string>

#include "dependency_barrier_reader.h"
#include "dependency_check.h"
#include "job_admission.h"
#include "job_reader.h"
#include "job_status_cache.h"
#include "job_writer.h"
#include "linearizable_reader.h"
#include "responder.h"

namespace corkmux {

namespace constants {
inline constexpr int kCancelTries = 3;  // of a cancel whose job changes meanwhile
}

class UserApi {
 public:
  UserApi(Loop& loop, const Settings& settings, StateClient& state, const JobAdmission& admission,
          JobStatusCache& status_cache, PeerExchange& peer_exchange);

  // Requests.
  void submit(const Responder& caller, const std::string& body);
  void query(const Responder& caller, const std::string& job);
  void cancel(const Responder& caller, const std::string& job);

  /// Its end is known: nothing will be read for it again.
  void job_ended(const std::string& job) { linearizable_reader_.forget(job); }

 private:
  using JobPtr = std::shared_ptr<const JobSpec>;
  /// Where a cancel is marked: in the job's record, or beside one that is over a limit that has fallen.
  enum class MarkPlace { InRecord, BesideRecord };
  /// What a submission's user is told of a job that was never accepted.
  struct Refusal {
    int status;
    std::string text;
  };
  LinearizableReader::Read read_for_batcher();
  /// Reads a job for a caller, who gets 503 if it cannot be read.
  void read_for(const Responder& caller, const std::string& job, std::function<void(StoredJob)> then);
  /// A job that was accepted before is answered as such, whatever is wrong with its submission.
  void answer_known_or(const Responder& caller, const std::string& job, Refusal refusal);
  void check_dependencies(const Responder& caller, const JobPtr& job);
  void store(const Responder& caller, const JobPtr& job);
  void answer_store(const Responder& caller, const JobSpec& job, const JobWriter::Result& result);
  void cancel(const Responder& caller, const std::string& job, int tries, MarkPlace place);
  void answer_cancel(const Responder& caller, const std::string& job, int tries, MarkPlace place,
                     StateStatus status);

  StateClient& state_;
  const JobAdmission& admission_;
  JobStatusCache& status_cache_;
  JobReader reader_;
  JobWriter writer_;
  DependencyBarrierReader dependency_barrier_;
  LinearizableReader linearizable_reader_;
};

}  // namespace corkmux
