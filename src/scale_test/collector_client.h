// A host process's connection to the collector of the run that started it. A collector that takes several
// messages in a row not has ended; then the loop is stopped, and the process ends with the run.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "codec.h"
#include "http.h"

namespace corkmux::scale_test {

inline constexpr double kCollectorTimeout = 5;  // s for an answer; the collector is on the same machine
inline constexpr int kMaxFailedMessages = 5;    // in a row, after which the collector has ended

class CollectorClient {
 public:
  /// nullopt: the message was not taken.
  using Callback = std::function<void(std::optional<std::string> answer)>;
  CollectorClient(Loop& loop, const std::string& collector) : loop_(loop), client_(loop, collector, 1, 4) {}
  /// Calls back once, in a later turn of the loop, unless it stops the loop.
  void send(const std::string& path, const codec::Json& message, Callback done);

 private:
  Loop& loop_;
  http::Client client_;
  int failed_in_a_row_ = 0;
};

}  // namespace corkmux::scale_test
