// Stand-in for the platform's cloud of PROTOCOL: a catalog; machines by type, zone and kind as far as there
// are any; requests with names, which never provision twice; boots that are slow or never end; lists that
// lag; a rate. Runs on any Loop.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http.h"
#include "machine_facts.h"
#include "rate_limiter.h"
#include "service_http.h"

namespace corkmux::simulation {

/// How many machines of one type and kind there are in one zone.
struct Capacity {
  std::string type;
  std::string zone;
  bool spot = false;
  int max_machines = 0;
};

class Cloud {
 public:
  /// Any may be left out.
  struct Callbacks {
    /// A machine has booted.
    std::function<void(const MachineFacts&)> booted;
    /// A machine was deleted while it was up.
    std::function<void(const std::string& name)> deleted;
    /// Where a machine's worker takes commands, for lists.
    std::function<std::string(const std::string& name)> address;
  };
  /// Listens at once, at `listen`; throws std::runtime_error when the address cannot be had. `list_lag_s`: by
  /// which lists are old on average.
  Cloud(Loop& loop, std::vector<MachineType> types, std::vector<Capacity> capacity, double list_lag_s,
        Callbacks callbacks, const std::string& listen = "127.0.0.1:0");
  /// A cloud without machines to provision, as most tests need it.
  explicit Cloud(Loop& loop);
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  int port() const { return server_.port(); }

  /// A fault: everybody gets 503.
  bool unavailable = false;
  RateLimiter request_rate;

  int deletion_requests() const { return deletion_requests_; }
  /// A machine that is there at the start.
  MachineFacts add_machine(const std::string& type, const std::string& zone, bool spot);
  /// It has stopped on its own; listed as running for a while.
  void machine_died(const std::string& name);
  /// The cloud has taken it back.
  void machine_reclaimed(const std::string& name);
  /// What all machines cost so far, in the catalog's unit.
  double cost() const;

 private:
  /// Times are s of the steady clock; none: not yet.
  struct Machine {
    MachineFacts facts;
    double provisioned_at = 0;
    std::optional<double> up_at;
    std::optional<double> died_at;
    std::optional<double> gone_at;  // deleted or reclaimed
  };
  ServiceReply handle(const http::Request& request);
  ServiceReply provision(const codec::Json& body);
  ServiceReply remove(const codec::Json& body);
  ServiceReply list(const std::string& target);
  codec::Json listed(const Machine& machine, double as_of) const;
  void answer(http::Server::ConnectionId id, const ServiceReply& reply);
  int free_capacity(const std::string& type, const std::string& zone, bool spot) const;
  Machine& create(const std::string& type, const std::string& zone, bool spot);
  void boot(Machine& machine, double after_s);

  Loop& loop_;
  std::vector<MachineType> types_;
  std::vector<Capacity> capacity_;
  double list_lag_s_;
  Callbacks callbacks_;
  std::mt19937_64 rng_;
  int last_machine_ = 0;
  int deletion_requests_ = 0;
  std::map<std::string, Machine> machines_;
  std::map<std::string, codec::Json> provisioned_;  // what each request by its name was answered
  std::vector<std::unique_ptr<Timer>> boots_;
  http::Server server_;
};

}  // namespace corkmux::simulation
