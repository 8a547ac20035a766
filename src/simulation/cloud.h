// Stand-in for the platform's cloud API as the protocol defines it: a catalog of machine types; machines by
// type, zone and kind (spot or not) up to a capacity; named, idempotent provisioning requests; boots that are
// slow or never end; lists that lag; a rate limit. Runs on any Loop.
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

/// The most machines of one type and kind (spot or not) that can exist in one zone.
struct Capacity {
  std::string type;
  std::string zone;
  bool spot = false;
  int max_machines = 0;
};

/// Serves the cloud API over HTTP and keeps the machines and their costs. Reports boots and deletions through
/// Callbacks.
class Cloud {
 public:
  /// Each callback is optional.
  struct Callbacks {
    /// A machine has booted.
    std::function<void(const MachineFacts&)> booted;
    /// A machine was deleted while it was up.
    std::function<void(const std::string& name)> deleted;
    /// Returns the host:port at which a machine's worker takes commands; lists contain it.
    std::function<std::string(const std::string& name)> address;
  };
  /// Starts to listen at `listen`; throws std::runtime_error if the address cannot be bound. `list_lag_s`:
  /// the average age of lists.
  Cloud(Loop& loop, std::vector<MachineType> types, std::vector<Capacity> capacity, double list_lag_s,
        Callbacks callbacks, const std::string& listen = "127.0.0.1:0");
  /// A cloud without capacity for provisioning, which is enough for most tests.
  explicit Cloud(Loop& loop);
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  int port() const { return server_.port(); }

  /// Fault: every request is answered 503.
  bool unavailable = false;
  /// s until a deletion is answered, for machines in other processes, which need time to end; real time only.
  double deletion_delay_s = 0;
  RateLimiter request_rate;

  int deletion_requests() const { return deletion_requests_; }
  /// Adds a machine that is already up.
  MachineFacts add_machine(const std::string& type, const std::string& zone, bool spot);
  /// Records that the machine has failed; it is still listed as running for kDeadListed seconds.
  void machine_died(const std::string& name);
  /// Records that the cloud has reclaimed the spot machine.
  void machine_reclaimed(const std::string& name);
  /// The cost of all machines so far, in the catalog's unit.
  double cost() const;

 private:
  /// Times are seconds of the steady clock; an empty time means that the event has not happened.
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
  void answer(http::Server::ConnectionId id, const ServiceReply& reply, double delay_s);
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
  std::map<std::string, codec::Json> provisioned_;  // the answer to each request, by the request's name
  std::vector<std::unique_ptr<Timer>> boots_;
  http::Server server_;
};

}  // namespace corkmux::simulation
