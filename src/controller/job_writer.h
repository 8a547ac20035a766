// Stores new jobs in the state store, each on the condition that it was never accepted before. Owns nothing;
// tells its caller how the write ended and answers nobody.
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
inline constexpr double kSubmitTime = 3.0;  // s a submission may take us; its user waits 5 s
inline constexpr int kSubmitTries = 2;      // of a submission refused by the rate limit
}  // namespace constants

class JobWriter {
 public:
  enum class Status {
    Stored,
    Exists,      // the job was accepted before, or ended; nothing was written
    Unanswered,  // it may be stored
    Refused,     // the state service takes no changes
    Unreadable   // the state service cannot be read
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
  void store_whole(const JobPtr& job, int tries, Callback done);
  void store_in_pieces(const JobPtr& job, double until, Callback done);
  void store_missing_pieces(const JobPtr& job, const Keys& stored, double until, Callback done);
  const Settings& settings_;
  StateClient& state_;
  const JobAdmission& admission_;
};

}  // namespace corkmux
