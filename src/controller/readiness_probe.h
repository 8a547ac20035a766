// Whether users should be sent to this controller. Asks the state service now and then, so that a controller
// without users knows as well whether it is served; changes nothing.
#pragma once
#include "job_admission.h"
#include "peer_exchange.h"
#include "state_client.h"

namespace corkmux {

namespace constants {
inline constexpr double kStateProbe = 0.7;  // s without an answer before the state service is asked
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
  /// Whether this controller has lost what the others may still have.
  bool cut_off() const;
  StateClient& state_;
  const JobAdmission& admission_;
  const PeerExchange& peer_exchange_;
  bool probing_ = false;
  Timer timer_;
};

}  // namespace corkmux
