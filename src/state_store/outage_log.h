// The log lines about a service that does not answer: once when it matters, again in growing intervals, and
// when it is back.
//
// Owns what is known of one service's outage. It never asks the service itself.
#pragma once
#include <optional>
#include <string>

#include "http.h"

namespace corkmux {

/// A pure function of outcomes and time; its lines are for the log.
class OutageLog {
 public:
  /// `service`: "the state service"; `address`: as in the settings.
  OutageLog(std::string service, std::string address)
      : service_(std::move(service)), address_(std::move(address)) {}
  /// A request found no answer, or one that says that the service is out of order. The line to log, if any.
  /// `now`: s of the steady clock.
  std::optional<std::string> failed(double now, const std::string& error);
  /// The service answered. The line to log, if any.
  std::optional<std::string> answered(double now);

 private:
  static constexpr double kPatience = 2.0;      // s until a service that has answered before counts as away
  static constexpr double kFirstPause = 5.0;    // s until it is logged again; doubled each time
  static constexpr double kLongestPause = 300;  // s

  void begin_outage(double now);

  std::string service_;
  std::string address_;
  bool has_answered_ = false;    // ever
  std::optional<double> since_;  // when it was first found away; nullopt: it is not
  double next_line_at_ = 0;      // s of the steady clock
  double pause_ = 0;             // s to the line after that
  bool logged_ = false;          // a line of this outage
};

/// Logs what an answer, or none, of the service says.
void log_outcome(OutageLog& log, const http::Result& result);

}  // namespace corkmux
