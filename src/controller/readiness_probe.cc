#include "readiness_probe.h"

#include "controller_constants.h"
#include "store_keys.h"

namespace corkmux {

void ReadinessProbe::start() {
  timer_.every(constants::kStateProbeInterval, [this] { probe(); });
}

void ReadinessProbe::probe() {
  if (probing_ || steady_now() - state_.last_contact() < constants::kStateProbeInterval) return;
  probing_ = true;
  state_.get(kTermKey, [this](const StateReply&) { probing_ = false; });
}

bool ReadinessProbe::ready() const { return admission_.types_known() && !cut_off(); }

bool ReadinessProbe::cut_off() const {
  double last_contact = state_.last_contact();
  double silence = steady_now() - last_contact;
  // In an outage all controllers lose the state store together; they stay ready, and tell users at once when
  // to retry. Only a controller that has lost it while its peers still reach it stops being ready.
  bool peers_have_it = peer_exchange_.peers_state_at() > last_contact + constants::kStateStoreLostAfter;
  if (silence > constants::kStateStoreLostAfter && peers_have_it) return true;
  // A controller that has lost its peers as well cannot tell an outage from being cut off. Users that stay
  // with it would get no answers, so that their jobs count as forgotten: it stops being ready, too.
  return silence > constants::kStateStoreOutageLimit &&
         peer_exchange_.time_since_message() > constants::kStateStoreOutageLimit;
}

}  // namespace corkmux
