// Events for the requests of users and the answers to them, and the interface for observers of these events.
#pragma once
#include <string>
#include <variant>

#include "model.h"

namespace corkmux::simulation {

struct JobSubmitted {
  JobSpec spec;
};

/// An answer to a request about one job. Its content may be older than that of another answer which arrived
/// after this request was sent.
struct UserAnswer {
  enum class Request {
    Submission,
    Cancellation,
    Poll,
    /// A status query, or a cancellation of a finished job; only the answer's content is checked, and a
    /// missing answer is not counted.
    ConcurrentRead,
  };
  Request request = Request::Poll;
  std::string job;
  int status = 0;           // HTTP status; 0: there was no response
  std::string phase;        // as spelled in the protocol; empty: none in the answer
  double requested_at = 0;  // when the request was sent, s on the clock given to Users
};

struct SubmissionAbandoned {
  std::string job;
};

struct CancellationRequested {
  std::string job;
};

/// The answer to an invalid submission, which must be refused with the required status.
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
