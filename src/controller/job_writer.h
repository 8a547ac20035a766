// Stores new jobs in the state store, each on the condition that it was never accepted before. Owns nothing;
// reports the result of the write to its caller and sends no answer itself.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "job_admission.h"
#include "model.h"
#include "settings.h"
#include "state_client.h"

namespace corkmux {

namespace constants {
inline constexpr double kSubmitTimeLimit = 3.0;  // s that a submission may take here; its user waits 5 s
inline constexpr int kMaxSubmitAttempts = 2;     // of a submission that is refused because of the rate limit
}  // namespace constants

class JobWriter {
 public:
  enum class Status {
    Stored,
    Exists,      // the job was accepted before, or has ended; nothing was written
    Unanswered,  // the job may be stored
    Refused,     // the state store accepts no changes
    Unreadable   // the state store cannot be read
  };
  struct Result {
    Status status;
    std::uint64_t revision = 0;  // of a stored job's record
  };
  using Callback = std::function<void(const Result&)>;
  JobWriter(const Settings& settings, StateClient& state, const JobAdmission& admission)
      : settings_(settings), state_(state), admission_(admission) {}
  void store(std::shared_ptr<const JobSpec> job, Callback done);

 private:
  using JobPtr = std::shared_ptr<const JobSpec>;
  using Keys = std::set<std::string>;
  void store_whole(const JobPtr& job, int attempts_left, Callback done);
  void store_in_pieces(const JobPtr& job, double deadline, Callback done);
  void store_missing_pieces(const JobPtr& job, const Keys& stored, double deadline, Callback done);
  const Settings& settings_;
  StateClient& state_;
  const JobAdmission& admission_;
};

}  // namespace corkmux
