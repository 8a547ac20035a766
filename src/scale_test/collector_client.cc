#include "collector_client.h"

namespace corkmux::scale_test {

void CollectorClient::send(const std::string& path, const codec::Json& message, Callback done) {
  client_.request("POST", path, codec::pack(message), kCollectorTimeout,
                  [this, done = std::move(done)](http::Result result) {
                    failed_in_a_row_ = result.ok() ? 0 : failed_in_a_row_ + 1;
                    if (failed_in_a_row_ >= kMaxFailedMessages) return loop_.stop();
                    done(result.ok() ? std::optional(std::move(result.body)) : std::nullopt);
                  });
}

}  // namespace corkmux::scale_test
