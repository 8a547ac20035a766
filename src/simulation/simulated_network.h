// The network between the hosts of a simulation: carries whole HTTP requests and answers with delays, and
// with what faults do to them - partitions, loss, slow links, late and repeated deliveries. Owns the requests
// on their way and the faults in force; schedules on the EventSimulator and draws from its random numbers.
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
inline constexpr double kRetransmissionDelay = 0.2;       // s until it is; the usual first retransmission
inline constexpr std::size_t kMaxRetainedRequests = 400;  // copies for deliver_retained(); some per machine

/// What happens to bytes between two hosts that a partition keeps apart.
enum class PartitionMode {
  Hold,   // kept, and delivered in order when the partition ends
  Reset,  // lost; open connections break
  Refuse  // new requests are refused at once
};

class SimulatedNetwork {
 public:
  /// Whether a fault concerns what goes from the one to the other.
  using HostPair = std::function<bool(const Host& from, const Host& to)>;

  /// That share of the requests to paths that begin with `path` arrive late.
  struct DelayedDelivery {
    enum class Mode {
      Late,      // only late, and the answer is lost
      Repeated,  // on time and answered, and once more late, with that answer lost
      Retained   // on time and answered; a copy waits for deliver_retained()
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

  /// http::Transport::send() of that host.
  bool send(Host& from, const std::string& address, http::Request request, bool open,
            http::Transport::Done done);
  /// Breaks the connections to that host, which has ended; not if its machine is off and therefore silent.
  void host_ended(const Host& host);

  // Faults, until that moment, s of simulated time.

  /// Keeps apart what the predicate names, in that direction only.
  void partition(HostPair between, PartitionMode mode, double until);
  /// Answers to requests to that path, any if it is empty, are lost with that probability after the request
  /// was executed. `between` names who answers, and whom.
  void lose_answers(HostPair between, double share, double until, std::string path = "");
  /// Requests are lost before anybody sees them.
  void lose_requests(HostPair between, double until);
  /// Multiplies delays, in both directions.
  void slow_down(HostPair between, double factor, double until);
  void delay_deliveries(DelayedDelivery fault) { delayed_.push_back(std::move(fault)); }
  /// The retained copies arrive now at each of these hosts, at that port. Returns how many there were.
  std::size_t deliver_retained(const std::vector<Host*>& hosts, int port);

  /// Whether nothing keeps these two apart, in either direction.
  bool connected(const Host& one, const Host& other) const;
  /// Requests of one controller to another, by path.
  const std::map<std::string, std::uint64_t>& peer_requests() const { return peer_requests_; }
  /// Requests that were executed and whose answers lose_answers() has lost.
  std::uint64_t answers_lost() const { return answers_lost_; }
  /// Requests that a partition held back and that arrived after it.
  std::uint64_t held_back() const { return held_back_; }

 private:
  using CallId = std::uint64_t;
  /// A request whose answer is not there yet.
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
  /// The one in force that ends last; null: none.
  const Partition* find_partition(const Host& from, const Host& to) const;
  static PartitionEffect effect_on_request(const Partition* outbound, const Partition* inbound, bool open);
  bool loses_request(const Host& from, const Host& to) const;
  bool loses_answer(const Call& call);
  /// Applies the delivery faults; returns whether the request arrives only late.
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
