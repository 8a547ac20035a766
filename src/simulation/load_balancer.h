// The users' load balancer of PROTOCOL: probes every controller and sends each new connection to a healthy
// one.
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

class LoadBalancer {
 public:
  /// `controllers`: label and address of each.
  LoadBalancer(Loop& loop, const std::map<std::string, std::string>& controllers);
  using Done = std::function<void(http::Result)>;
  /// To a healthy controller; to another, three at most, while it takes no connections. `done` is called
  /// once.
  void request(const char* method, const std::string& target, const std::string& body, double timeout_s,
               Done done);
  /// To that controller, healthy or not.
  void request_at(std::size_t controller, const char* method, const std::string& target, std::string body,
                  double timeout_s, Done done);
  std::size_t controllers() const { return controllers_.size(); }

 private:
  /// Times are s of the steady clock.
  struct Controller {
    std::unique_ptr<http::Client> client;
    bool healthy = false;
    bool was_healthy = false;  // at some time
    int good_probes = 0;       // in a row
    int failed_probes = 0;     // in a row
    int refused_connections = 0;
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
  /// Null: none that was not tried.
  Controller* pick(const std::vector<Controller*>& tried);
  void run(Attempt attempt);

  Loop& loop_;
  std::vector<std::unique_ptr<Controller>> controllers_;
  std::mt19937_64 rng_;
  Timer probe_timer_;
};

}  // namespace corkmux::simulation
