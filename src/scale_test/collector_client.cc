#include "collector_client.h"

namespace corkmux::scale_test {

void CollectorClient::send(const std::string& path, const codec::Json& message, Callback done) {
  client_.request("POST", path, codec::pack(message), kCollectorTimeout,
                  [this, done = std::move(done)](http::Result result) {
                    consecutive_failures_ = result.ok() ? 0 : consecutive_failures_ + 1;
                    if (consecutive_failures_ >= kMaxFailedMessages) return loop_.stop();
                    done(result.ok() ? std::optional(std::move(result.body)) : std::nullopt);
                  });
}

}  // namespace corkmux::scale_test
