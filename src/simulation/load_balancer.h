// Stand-in for the users' load balancer as the protocol defines it: probes every controller and routes each
// new connection to a healthy one.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http.h"
#include "time_constants.h"

namespace corkmux::simulation {

/// Routes users' requests to the controllers and tracks the health of each.
class LoadBalancer {
 public:
  /// `controllers`: addresses by label.
  LoadBalancer(Loop& loop, const std::map<std::string, std::string>& controllers);
  using Done = std::function<void(http::Result)>;
  /// Sends the request to a healthy controller; tries another if the connection fails, at most three in all.
  /// `done` is called once.
  void request(const char* method, const std::string& target, const std::string& body, double timeout_s,
               Done done);
  /// Sends the request to that controller, healthy or not.
  void request_at(std::size_t controller, const char* method, const std::string& target, std::string body,
                  double timeout_s, Done done);
  std::size_t controllers() const { return controllers_.size(); }

 private:
  /// State of one controller as this load balancer tracks it. Times are seconds of the steady clock.
  struct Controller {
    std::unique_ptr<http::Client> client;
    bool healthy = false;
    bool was_healthy = false;     // at any time so far
    int good_probes = 0;          // in a row
    int failed_probes = 0;        // in a row
    int refused_connections = 0;  // in a row
    int recent_removals = 0;
    double removed_at = kLongAgo;
    double healthy_not_before = 0;
    double skipped_until = 0;
  };
  struct Attempt {
    const char* method;
    std::string target;
    std::string body;
    double timeout_s;
    Done done;
    std::vector<Controller*> tried;
  };
  void probe(Controller& controller);
  static void probed(Controller& controller, bool ready);
  /// A random healthy controller that is not in `tried`; null if there is none.
  Controller* pick(const std::vector<Controller*>& tried);
  void run(Attempt attempt);

  Loop& loop_;
  std::vector<std::unique_ptr<Controller>> controllers_;
  std::mt19937_64 rng_;
  Timer probe_timer_;
};

}  // namespace corkmux::simulation
