// Produces the log lines about a service that does not answer: one line when an outage begins, further lines
// at growing intervals, and one when the service answers again.
//
// Owns the state of one service's outage. It sends no requests itself.
#pragma once
#include <optional>
#include <string>

#include "http.h"

namespace corkmux {

/// Depends only on the outcomes and times that it is given; returns the lines to log.
class OutageLog {
 public:
  /// `service`: "the state service"; `address`: as in the settings.
  OutageLog(std::string service, std::string address)
      : service_(std::move(service)), address_(std::move(address)) {}
  /// Records a request without an answer, or with the answer that the service is unavailable. Returns the
  /// line to log, if any. `now`: s of the steady clock.
  std::optional<std::string> failed(double now, const std::string& error);
  /// Records an answer of the service. Returns the line to log, if any.
  std::optional<std::string> answered(double now);

 private:
  static constexpr double kOutageThreshold = 2.0;   // s until a service that did answer counts as unavailable
  static constexpr double kFirstLogInterval = 5.0;  // s until the outage is logged again; doubled each time
  static constexpr double kMaxLogInterval = 300;    // s

  void begin_outage(double now);

  std::string service_;
  std::string address_;
  bool has_answered_ = false;           // since the start
  std::optional<double> outage_since_;  // start of the outage; nullopt: there is none
  double next_log_at_ = 0;              // s of the steady clock
  double log_interval_ = 0;             // s from that line to the next
  bool logged_ = false;                 // whether a line about this outage was returned
};

/// Updates the outage state from the result of a request to the service, and logs the line, if any.
void log_outcome(OutageLog& log, const http::Result& result);

}  // namespace corkmux
