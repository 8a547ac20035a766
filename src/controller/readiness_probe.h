// Decides whether users should be sent to this controller. Probes the state store when it has not answered
// for a while, so that a controller without users detects a lost connection as well; changes nothing.
#pragma once
#include "job_admission.h"
#include "peer_exchange.h"
#include "state_client.h"

namespace corkmux {

namespace constants {
inline constexpr double kStateProbeInterval = 0.7;  // s without an answer until the state store is probed
}

class ReadinessProbe {
 public:
  ReadinessProbe(Loop& loop, StateClient& state, const JobAdmission& admission,
                 const PeerExchange& peer_exchange)
      : state_(state), admission_(admission), peer_exchange_(peer_exchange), timer_(loop) {}
  void start();
  bool ready() const;

 private:
  void probe();
  /// Whether this controller has lost the state store while other controllers may still reach it.
  bool cut_off() const;
  StateClient& state_;
  const JobAdmission& admission_;
  const PeerExchange& peer_exchange_;
  bool probing_ = false;
  Timer timer_;
};

}  // namespace corkmux
