// The users' interface, health, and the door at which workers' reports arrive.
#pragma once
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "catalog.h"
#include "heartbeat_forwarder.h"
#include "leader.h"
#include "lease_proxy.h"
#include "linearizable_reader.h"
#include "peer_exchange.h"
#include "store_relay.h"
#include "worker_sharding.h"

namespace corkmux {

class Gateway : public Actor<Gateway> {
 public:
  Gateway(Loop& loop, const Settings& settings, StateClient& state, Catalog& catalog, Leader& leader,
          PeerExchange& peers, LeaseProxy& lease_proxy, StoreRelay& store_relay,
          fanin::HeartbeatForwarder& forwarder);
  void leader_changed(const std::string& label) {
    // What was learnt of the former leader's reach says nothing of the next one's.
    if (label != leader_label_) worker_connections_.clear();
    leader_label_ = label;
  }
  /// Who serves workers from now on; empty: the leader alone.
  void fanin_changed(fanin::WorkerSharding sharding) { sharding_ = std::move(sharding); }
  void view(const codec::JobView& view);
  /// A report that a peer passed on because its worker could not reach us.
  void relayed(const std::string& body, std::function<void(int, std::string)> reply, Leader::Way way);
  void start();
  /// Takes no new connections and no new work; what is open is answered.
  void close();
  bool busy() const { return server_.busy(); }
  /// Whether workers can be sent to another leader.
  bool successor_known() const { return !leader_label_.empty() && leader_label_ != settings_.label; }
  bool state_ok() const;
  int port() const { return server_.port(); }

  // --- for other interfaces to the same jobs ---
  bool closing() const { return closing_; }
  /// Whether machine types are known; without them nothing can be accepted.
  bool types_known() const { return !catalog_.types().empty(); }
  /// Why a job can never run here; empty if it can.
  std::string refusal(const JobSpec& job) const;
  /// Bytes that a record may take, now and after the limits have fallen.
  std::size_t record_room() const;
  /// What a new job's record holds.
  static codec::Json job_record(const JobSpec& job);
  /// A job that the store says is in this phase, with what is known of its tasks.
  codec::JobView display(const std::string& job, const std::string& phase) const;
  /// Its end was stored by another interface: the leader is told.
  void note_cancelled(const std::string& job);

 private:
  using Id = http::Server::ConnectionId;
  void serve(Id id, http::Request request);
  void answer(Id id, int status, const codec::Json& body);
  void unavailable(Id id, const char* why);
  void submit(Id id, const std::string& body);
  /// The first time a submission is heard of: what it awaits has to have been accepted.
  void check_dependencies(Id id, std::shared_ptr<JobSpec> job);
  void store(Id id, std::shared_ptr<JobSpec> job, int tries);
  void store_in_pieces(Id id, std::shared_ptr<JobSpec> job, double until);
  /// Once accepted, a job stays so: what was read or stored need not be read again.
  void note_accepted(const std::string& job);
  /// It was accepted under this stamp, and nothing has changed it since as far as we know.
  void note_stored(const JobSpec& job, const StateReply& reply);
  void known_or(Id id, const std::string& job, int status, const std::string& why);
  struct Found {
    std::string phase;           // empty: never accepted
    std::uint64_t revision = 0;  // of the record of an unfinished job
    codec::Json record;
    bool has_dependencies() const;  // others, or may: a long record's pieces are not read for it
  };
  /// Reads a job's record, then its end. No value: the state service could not say.
  void read(const std::string& job, std::function<void(std::optional<Found>)> then);
  /// The same for a caller, who gets 503 if it cannot be read.
  void lookup(Id id, const std::string& job, std::function<void(Found)> then);
  void query(Id id, const std::string& job);
  /// Whether a job that awaits others may be called unfinished, by what was known when it was asked about.
  bool settled(double known_at);
  void cancel(Id id, const std::string& job, int tries, bool beside = false);
  using PassReply = std::function<void(int status, std::string body)>;
  /// What this controller remembers of a worker that has come to it.
  struct WorkerConnectionState {
    double redirected_at = -1e9, relay_until = -1e9, seen_at = -1e9, served_at = -1e9;  // s, steady clock
  };
  void heartbeat(Id id, const std::string& body);
  /// Where a worker should report instead; empty: here.
  std::string redirect_target(const Heartbeat& heartbeat, WorkerConnectionState& connection);
  bool may_move(const WorkerConnectionState& connection);
  void redirect(const std::string& label, WorkerConnectionState& connection, const PassReply& pass);
  /// By a batch where the leader takes them, else by one of the ways that remain.
  void heartbeat_to_leader(Heartbeat heartbeat, const std::string& body, bool unknown_worker, PassReply pass);
  void forward(Heartbeat heartbeat, const std::string& body, PassReply reply);
  void forget_worker_connections();
  void remember_final(const std::string& job, const std::string& phase, int tasks);

  Settings settings_;
  StateClient& state_;
  Catalog& catalog_;
  Leader& leader_;
  PeerExchange& peer_exchange_;
  LeaseProxy& lease_proxy_;
  StoreRelay& store_relay_;
  LinearizableReader linearizable_reader_;
  Timer probe_;
  bool probing_ = false, closing_ = false, reading_barrier_ = false;
  double barrier_read_at_ = -1e9;
  enum class Known { Unknown, No, Yes } barrier_record_ = Known::Unknown;  // whether there is one
  std::string leader_label_;
  std::unordered_map<std::string, std::pair<std::string, int>> finals_;
  std::deque<std::string> final_order_;
  std::unordered_set<std::string> accepted_;  // jobs read in the store before: accepted for good
  std::unordered_map<std::string, codec::JobView> views_;
  std::deque<std::string> view_order_;
  std::unordered_map<std::string, WorkerConnectionState> worker_connections_;
  fanin::WorkerSharding sharding_;
  fanin::HeartbeatForwarder& forwarder_;
  double moves_left_ = 0, moves_at_ = 0;  // workers that may be sent elsewhere for balance, as of then
  int served_here_ = 0;                   // workers served lately, counted every so often
  Timer forget_timer_;
  http::Server server_;
};

}  // namespace corkmux
