// The user API of a controller: submits, queries and cancels jobs. Owns the reads that wait; every answer is
// based on the state store, so all controllers give the same answers. Makes no scheduling decisions and sends
// no requests to a leader.
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
inline constexpr int kMaxCancelAttempts = 3;  // to cancel a job whose record changes meanwhile
}

class UserApi {
 public:
  UserApi(Loop& loop, const Settings& settings, StateClient& state, const JobAdmission& admission,
          JobStatusCache& status_cache, PeerExchange& peer_exchange);

  // Requests.
  void submit(const Responder& caller, const std::string& body);
  void query(const Responder& caller, const std::string& job);
  void cancel(const Responder& caller, const std::string& job);

  /// The job's end is cached: it will not be read again.
  void job_ended(const std::string& job) { linearizable_reader_.forget(job); }

 private:
  using JobPtr = std::shared_ptr<const JobSpec>;
  /// Where a cancel is marked: in the job's record, or beside a record that exceeds a limit that was lowered.
  enum class CancelMarkLocation { InRecord, BesideRecord };
  /// The answer to a submission whose job was never accepted.
  struct Refusal {
    int status;
    std::string text;
  };
  LinearizableReader::ReadJob read_for_batcher();
  /// Reads a job and passes it to `then`; the caller gets 503 if it cannot be read.
  void read_for(const Responder& caller, const std::string& job, std::function<void(StoredJob)> then);
  /// Answers with the state of the job if it was accepted before, even if this submission is faulty; with the
  /// refusal otherwise.
  void answer_accepted_or(const Responder& caller, const std::string& job, Refusal refusal);
  void check_dependencies(const Responder& caller, const JobPtr& job);
  void store(const Responder& caller, const JobPtr& job);
  void answer_store(const Responder& caller, const JobSpec& job, const JobWriter::Result& result);
  void cancel(const Responder& caller, const std::string& job, int attempts_left,
              CancelMarkLocation mark_location);
  void answer_cancel(const Responder& caller, const std::string& job, int attempts_left,
                     CancelMarkLocation mark_location, StateStatus status);

  StateClient& state_;
  const JobAdmission& admission_;
  JobStatusCache& status_cache_;
  JobReader reader_;
  JobWriter writer_;
  DependencyBarrierReader dependency_barrier_;
  LinearizableReader linearizable_reader_;
};

}  // namespace corkmux
