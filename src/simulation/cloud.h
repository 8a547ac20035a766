// The cloud of PROTOCOL: a catalog, machines by type, zone and kind as far as there are any, names of
// requests that never rent twice, boots that are slow or never end, lists that lag, a rate. Runs on any Loop.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "machine_facts.h"
#include "state_service.h"

namespace corkmux::simulation {

struct Capacity {
  std::string type, zone;
  bool spot = false;
  int max_machines = 0;
};

class Cloud {
 public:
  /// `up` is told of each machine that has booted, `gone` of each that was deleted while it was up.
  struct Callbacks {
    std::function<void(const MachineFacts&)> up;
    std::function<void(const std::string& name)> gone;
    std::function<std::string(const std::string& name)> address;
  };
  Cloud(Loop& loop, std::vector<MachineType> types, std::vector<Capacity> capacity, double list_lag_s,
        Callbacks hooks, const std::string& listen = "127.0.0.1:0");
  /// A cloud without machines to rent, as most tests need it.
  explicit Cloud(Loop& loop);
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  int port() const { return server_.port(); }
  bool unavailable = false;
  RateLimiter request_rate;
  int deletion_requests() const { return deletion_requests_; }
  /// A machine that is there at the start.
  MachineFacts add_machine(const std::string& type, const std::string& zone, bool spot);
  /// It has stopped on its own; listed as running for a while.
  void machine_died(const std::string& name);
  /// The cloud has taken it back.
  void machine_reclaimed(const std::string& name);
  double cost() const;  // spent so far, in the catalog's unit

 private:
  struct Machine {
    MachineFacts facts;
    double rented = 0, up = 0, died = 0, gone = 0;  // s; 0: not yet
  };
  void serve(Id id, http::Request r);
  void answer(Id id, int status, const Json& body);
  void rent(Id id, const Json& body);
  void list(Id id, const std::string& target);
  Machine& create(const std::string& type, const std::string& zone, bool spot);
  Loop& loop_;
  std::vector<MachineType> types_;
  std::vector<Capacity> capacity_;
  double list_lag_s_;
  Callbacks callbacks_;
  std::mt19937_64 rng_;
  int named_ = 0;
  int deletion_requests_ = 0;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Json> asked_;
  std::vector<std::unique_ptr<Timer>> boots_;
  http::Server server_;
};

}  // namespace corkmux::simulation
