// The network between the hosts of a simulation: delivers whole HTTP requests and answers with delays and
// applies faults - partitions, loss, slow links, late and repeated deliveries. Owns the requests in flight
// and the active faults; schedules on the EventSimulator and uses its random numbers.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http.h"

namespace corkmux::simulation {

class EventSimulator;
class Host;

inline constexpr double kDelayInZone = 0.0004;            // s one way within a zone
inline constexpr double kDelayBetweenZones = 0.0015;      // s one way between zones and to regional services
inline constexpr double kRetransmissionShare = 0.001;     // of messages whose packet is lost and sent again
inline constexpr double kRetransmissionDelay = 0.2;       // s; usual time of a first retransmission
inline constexpr std::size_t kMaxRetainedRequests = 400;  // for deliver_retained(); several per machine

/// Effect of a partition on traffic between the two hosts that it separates.
enum class PartitionMode {
  Hold,   // held back, and delivered in order when the partition ends
  Reset,  // lost; open connections break
  Refuse  // new requests are refused at once
};

/// The transport of all hosts, with the faults that are active.
class SimulatedNetwork {
 public:
  /// Whether a fault affects traffic from `from` to `to`.
  using HostPair = std::function<bool(const Host& from, const Host& to)>;

  /// Fault: the share `share` of the requests to paths that begin with `path` is delivered late.
  struct DelayedDelivery {
    enum class Mode {
      Late,      // delivered late only; the answer is lost
      Repeated,  // delivered on time and answered, and again late; the second answer is lost
      Retained   // delivered on time and answered; a copy is kept for deliver_retained()
    };
    HostPair between;
    std::string path;
    Mode mode = Mode::Late;
    double share = 0;
    double min_delay_s = 0;
    double max_delay_s = 0;
    double until = 0;  // s of simulated time
  };

  explicit SimulatedNetwork(EventSimulator& simulator) : simulator_(simulator) {}

  /// Implements http::Transport::send() for the host `from`.
  bool send(Host& from, const std::string& address, http::Request request, bool open,
            http::Transport::Done done);
  /// Breaks the connections to a host that has ended; not if its machine is powered off, since that sends no
  /// reset.
  void host_ended(const Host& host);

  // Faults, active until `until`, in seconds of simulated time.

  /// Partitions the pairs of hosts that the predicate selects, in that direction only.
  void partition(HostPair between, PartitionMode mode, double until);
  /// Answers to requests to paths that begin with `path` (all paths if it is empty) are lost with probability
  /// `share` after the request was executed. `between(from, to)`: `from` answers, `to` sent the request.
  void lose_answers(HostPair between, double share, double until, std::string path = "");
  /// Requests are lost before they are delivered.
  void lose_requests(HostPair between, double until);
  /// Multiplies delays by `factor`, in both directions.
  void slow_down(HostPair between, double factor, double until);
  void delay_deliveries(DelayedDelivery fault) { delayed_.push_back(std::move(fault)); }
  /// Delivers the retained copies now to each of these hosts, at that port. Returns the number of copies.
  std::size_t deliver_retained(const std::vector<Host*>& hosts, int port);

  /// Whether no active partition separates the two hosts, in either direction.
  bool connected(const Host& one, const Host& other) const;
  /// Number of requests between controllers, by path.
  const std::map<std::string, std::uint64_t>& peer_requests() const { return peer_requests_; }
  /// Number of executed requests whose answers were lost through lose_answers().
  std::uint64_t answers_lost() const { return answers_lost_; }
  /// Number of requests that a partition held back for delivery after its end.
  std::uint64_t held_back() const { return held_back_; }

 private:
  using CallId = std::uint64_t;
  /// A request that has not been answered yet.
  struct Call {
    Host* from;
    Host* to;
    http::Transport::Done done;
    std::string target;
  };
  struct Partition {
    HostPair between;
    PartitionMode mode;
    double until;
  };
  struct AnswerLoss {
    HostPair between;
    double share;
    double until;
    std::string path;
  };
  struct RequestLoss {
    HostPair between;
    double until;
  };
  struct SlowLink {
    HostPair between;
    double factor;
    double until;
  };
  struct RetainedRequest {
    Host* from;
    http::Request request;
  };
  enum class PartitionEffect { None, Refused, NotConnected, ConnectionReset };

  CallId add_call(Host& from, Host& to, http::Transport::Done done, std::string target);
  /// The active partition that ends last; null if there is none.
  const Partition* find_partition(const Host& from, const Host& to) const;
  static PartitionEffect effect_on_request(const Partition* outbound, const Partition* inbound, bool open);
  bool loses_request(const Host& from, const Host& to) const;
  bool loses_answer(const Call& call);
  /// Applies the delivery faults; returns whether the request is delivered late only.
  bool delay_request(Host& from, Host& to, int port, const http::Request& request);
  void schedule_delivery(CallId call, double time, int port, http::Request request);
  void deliver(CallId call, int port, http::Request request);
  void accept(CallId call, Host& host, int port, http::Request request);
  void answer(CallId id, const http::Response& response);
  void finish(CallId id, http::Result result, double after_s);
  double draw_delay(const Host& from, const Host& to);

  EventSimulator& simulator_;
  CallId next_call_ = 1;
  std::map<CallId, Call> calls_;
  std::vector<Partition> partitions_;
  std::vector<AnswerLoss> answer_losses_;
  std::vector<RequestLoss> request_losses_;
  std::vector<SlowLink> slow_links_;
  std::vector<DelayedDelivery> delayed_;
  std::deque<RetainedRequest> retained_;
  std::map<std::string, std::uint64_t> peer_requests_;
  std::uint64_t answers_lost_ = 0;
  std::uint64_t held_back_ = 0;
};

}  // namespace corkmux::simulation
