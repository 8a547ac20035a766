// What users do and are told, as events, and who wants to hear of it.
#pragma once
#include <string>
#include <variant>

#include "model.h"

namespace corkmux::simulation {

struct JobSubmitted {
  JobSpec spec;
};

/// An answer to a request about one job. One that was asked for before another answer came may be older than
/// that.
struct UserAnswer {
  enum class To {
    Submission,
    Cancellation,
    Poll,
    /// A question, or a cancellation of what is done, that counts for what it says alone.
    ConcurrentRead,
  };
  To to = To::Poll;
  std::string job;
  int status = 0;       // of HTTP; 0: there was no response
  std::string phase;    // as PROTOCOL spells it; empty: none was told
  double asked_at = 0;  // s on the clock of whoever tells
};

struct SubmissionAbandoned {
  std::string job;
};

struct CancellationRequested {
  std::string job;
};

/// The answer to a submission that has to be refused with the required status.
struct InvalidSubmissionAnswered {
  std::string job;
  int status = 0;
  int required_status = 0;
};

using UserEvent = std::variant<JobSubmitted, UserAnswer, SubmissionAbandoned, CancellationRequested,
                               InvalidSubmissionAnswered>;

class UserObserver {
 public:
  virtual ~UserObserver() = default;
  virtual void observe(const UserEvent& event) = 0;
};

}  // namespace corkmux::simulation
