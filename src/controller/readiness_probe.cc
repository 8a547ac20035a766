#include "readiness_probe.h"

#include "controller_constants.h"
#include "store_keys.h"

namespace corkmux {

void ReadinessProbe::start() {
  timer_.every(constants::kStateProbe, [this] { probe(); });
}

void ReadinessProbe::probe() {
  if (probing_ || steady_now() - state_.last_contact() < constants::kStateProbe) return;
  probing_ = true;
  state_.get(kTermKey, [this](const StateReply&) { probing_ = false; });
}

bool ReadinessProbe::ready() const { return admission_.types_known() && !cut_off(); }

bool ReadinessProbe::cut_off() const {
  double last_contact = state_.last_contact();
  double silence = steady_now() - last_contact;
  // In an outage all controllers lose the state service together, and users are told at once when to come
  // back. Only one that alone has lost it steps out of the way.
  bool peers_have_it = peer_exchange_.peers_state_at() > last_contact + constants::kStateLost;
  if (silence > constants::kStateLost && peers_have_it) return true;
  // Nor can one that has lost the others as well tell the two apart. Guards against users that keep to it:
  // for them their jobs would be forgotten.
  return silence > constants::kStateSilent && peer_exchange_.time_since_message() > constants::kStateSilent;
}

}  // namespace corkmux
