// What an operator reads while a service that we need does not answer: once when it matters, again in growing
// intervals, and when it is back.
#pragma once
#include <optional>
#include <string>

#include "http.h"

namespace corkmux {

/// A pure function of outcomes and time; its lines are for the log.
class OutageLog {
 public:
  /// `what`: "the state service"; `address`: as in the settings.
  OutageLog(std::string what, std::string address) : what_(std::move(what)), address_(std::move(address)) {}
  /// A request found no answer, or one that says that the service is out of order. `now`: s of the steady
  /// clock.
  std::optional<std::string> failed(double now, const std::string& error);
  /// It answered.
  std::optional<std::string> answered(double now);

 private:
  std::string what_, address_;
  bool known_ = false;           // it has answered before
  std::optional<double> since_;  // when it was first found away; empty: it is not
  double next_ = 0, pause_ = 0;  // when it is said again, and the pause after that; s
  bool said_ = false;            // of this outage
};

/// Logs what an answer, or none, of the service says.
void log_outcome(OutageLog& log, const http::Result& result);

}  // namespace corkmux
