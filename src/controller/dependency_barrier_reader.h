// Decides whether a job that depends on others may be reported as unfinished. Owns the result of reads of the
// dependency barrier's record in the state store; never writes the record: the leader does.
#pragma once
#include "peer_exchange.h"
#include "settings.h"
#include "state_client.h"
#include "time_constants.h"

namespace corkmux {

namespace constants {
inline constexpr double kBarrierReadInterval = 1.0;  // s between reads of the record
}

class DependencyBarrierReader {
 public:
  DependencyBarrierReader(const Settings& settings, StateClient& state, PeerExchange& peer_exchange)
      : cancel_s_(settings.cancel_s), state_(state), peer_exchange_(peer_exchange) {}
  /// The latest barrier that this controller has received; to be called before the job is read.
  double barrier_at() const { return peer_exchange_.dependency_barrier_at(); }
  /// Whether a job that depends on others may be reported as unfinished, by the barrier that was known before
  /// the job was read. If that barrier is too old, its record is read for the next request.
  bool may_report_unfinished(double barrier_at_before_read);

 private:
  enum class RecordState { Unknown, Absent, Present };
  void read_record();
  double cancel_s_;
  StateClient& state_;
  PeerExchange& peer_exchange_;
  bool reading_ = false;
  double read_at_ = kLongAgo;
  RecordState record_ = RecordState::Unknown;
};

}  // namespace corkmux
