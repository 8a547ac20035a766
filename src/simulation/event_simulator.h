// Stepped time: one queue of events for all hosts of a simulation, run in order of time, then of their
// making. The same seed gives the same order. Hosts have clocks of their own, may stand still, end, or be
// without power; what they say to each other goes through a network with delays and cuts. Knows nothing of
// what the hosts are.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http.h"

namespace corkmux::simulation {

/// What happens to bytes between two hosts that a cut keeps apart.
enum class CutMode {
  Hold,   // kept, and delivered in order when the cut ends
  Reset,  // lost; open connections break
  Refuse  // new requests are refused at once
};

class EventSimulator;

/// A process or machine at one address. Kept until the simulation ends, since late messages may still name
/// it.
class Host : public Runtime, public http::Transport {
 public:
  Host(EventSimulator& simulation, std::string name, std::string ip, std::string zone);
  double steady() const override;
  double wall() const override;
  std::uint64_t random() override;
  std::uint64_t start(double after_s, std::function<void()> fn) override;
  void stop(std::uint64_t timer) override;
  http::Transport& transport() override { return *this; }

  int listen(const std::string& address, Accept accept) override;
  void unlisten(int port) override;
  bool send(const std::string& address, http::Request request, bool open, Done done) override;

  /// It runs nothing until then, while its clocks run on. s of simulated time.
  void stall(double until);
  bool stalled() const;
  /// It is no more: nothing of it runs. A process that ends refuses what comes; a machine without power is
  /// silent.
  void end(bool silent);
  bool alive() const { return alive_; }
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }  // empty: regional
  const std::string& ip() const { return ip_; }
  double simulated_time() const;  // s since the simulation began
  std::string role;               // what cuts go by: "controller", "worker", "state", "cloud", "users"

 private:
  friend class EventSimulator;
  EventSimulator& simulation_;
  std::string name_, ip_, zone_;
  double rate_, skew_;  // steady s per s of simulated time; s of the time of day
  double stalled_until_ = 0;
  bool alive_ = true, silent_ = false;
  int next_port_ = 20000;
  std::map<int, Accept> ports_;
};

class EventSimulator {
 public:
  explicit EventSimulator(std::uint64_t seed, double skew_s = 0);
  ~EventSimulator();
  EventSimulator(const EventSimulator&) = delete;
  EventSimulator& operator=(const EventSimulator&) = delete;

  double now() const { return now_; }  // s since the simulation began
  std::mt19937_64& rng() { return rng_; }
  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(rng_); }
  std::size_t below(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(rng_); }

  /// The host at that address from now on; an earlier one there must have ended.
  Host& host(const std::string& name, const std::string& ip, const std::string& zone,
             const std::string& role);
  /// Runs `fn` on the host; never if that has ended by then.
  std::uint64_t at(double time, Host* host, std::function<void()> fn);
  void cancel(std::uint64_t event) { live_.erase(event); }
  void run_until(double time);
  /// Runs `fn` as the host would, at once.
  void as(Host& host, const std::function<void()>& fn);

  using Between = std::function<bool(const Host& from, const Host& to)>;
  /// Cuts what the predicate names, in that direction only.
  void cut(Between between, CutMode mode, double until);
  /// Answers between them are lost after the request was executed, with that probability; to requests to that
  /// path only, unless it is empty.
  void lose_answers(Between between, double share, double until, std::string path = "");
  /// Requests between them are lost before anybody sees them.
  void lose_requests(Between between, double until);
  /// That share of the requests to this path come once more, from `least_s` to `most_s` later, and whatever
  /// is answered then is lost; or come only then, so that whoever asked gets no answer.
  struct DelayedDelivery {
    Between between;
    std::string path;
    double share = 0, least_s = 0, most_s = 0;
    bool only_then = false;
    /// Copies are kept until deliver_kept().
    bool kept = false;
    double until = 0;
  };
  void delay_deliveries(DelayedDelivery late) { late_.push_back(std::move(late)); }
  /// The kept copies arrive now at each of these hosts, at that port; gives how many there were.
  std::size_t deliver_kept(const std::vector<Host*>& to, int port);
  /// Multiplies delays.
  void slow(Between between, double factor, double until);

  /// Nothing is cut between them, in either direction.
  bool reaches(const Host& a, const Host& b) const { return !cut_between(a, b) && !cut_between(b, a); }
  std::uint64_t events_run() const { return events_run_; }
  std::uint64_t requests_sent() const { return next_call_ - 1; }
  /// Requests of one controller to another, by path.
  const std::map<std::string, std::uint64_t>& peer_requests() const { return peer_requests_; }
  /// Requests that were executed and whose answers lose_answers() has lost.
  std::uint64_t answers_lost() const { return answers_lost_; }
  /// Requests that a cut held back and that arrived after it.
  std::uint64_t held_back() const { return held_back_; }

 private:
  friend class Host;
  struct Event {
    double time;
    std::uint64_t id;
    Host* host;
    std::function<void()> fn;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.time != b.time ? a.time > b.time : a.id > b.id;
    }
  };
  struct Cut {
    Between between;
    CutMode mode;
    double until;
  };
  struct LossRule {
    Between between;
    double value, until;
    std::string path = {};
  };
  struct Call {
    Host *from, *to;
    http::Transport::Done done;
    std::string target = {};
  };
  const Cut* cut_between(const Host& from, const Host& to) const;
  double delay(const Host& from, const Host& to);
  Host* find(const std::string& ip) const;
  bool carry(Host& from, const std::string& address, http::Request request, bool open,
             http::Transport::Done done);
  void deliver(std::uint64_t call, int port, http::Request request);
  void answer(std::uint64_t call, const http::Response& response);
  void finish(std::uint64_t call, http::Result result, double after);
  void ended(Host& host);

  double now_ = 0, skew_s_;
  std::mt19937_64 rng_;
  std::uint64_t next_event_ = 1, next_call_ = 1, events_run_ = 0, answers_lost_ = 0, held_back_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> queue_;
  std::unordered_set<std::uint64_t> live_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::unordered_map<std::string, Host*> by_ip_;
  std::map<std::string, std::uint64_t> peer_requests_;
  std::map<std::uint64_t, Call> calls_;
  std::vector<Cut> cuts_;
  std::vector<LossRule> lossy_, mute_, slow_;
  std::vector<DelayedDelivery> late_;
  std::deque<std::pair<Host*, http::Request>> kept_;
  std::unique_ptr<Host> services_loop_;  // whose clocks tell while no host runs
};

}  // namespace corkmux::simulation
