// A host process's connection to the collector of the run that started it. Several failed messages in a row
// mean that the collector has ended; the client then stops the loop, so that the host process ends with the
// run.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "codec.h"
#include "http.h"

namespace corkmux::scale_test {

inline constexpr double kCollectorTimeout = 5;  // s until the response; the collector is on the same machine
inline constexpr int kMaxFailedMessages = 5;    // in a row, after which the collector counts as ended

class CollectorClient {
 public:
  /// Receives the response body; nullopt: the request failed.
  using Callback = std::function<void(std::optional<std::string> answer)>;
  CollectorClient(Loop& loop, const std::string& collector) : loop_(loop), client_(loop, collector, 1, 4) {}
  /// Posts the message. Calls `done` once, in a later iteration of the loop, unless the failure stops the
  /// loop.
  void send(const std::string& path, const codec::Json& message, Callback done);

 private:
  Loop& loop_;
  http::Client client_;
  int consecutive_failures_ = 0;
};

}  // namespace corkmux::scale_test
