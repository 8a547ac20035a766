// Who leads: the holder of the key `leader`, which hangs on a grant of the state service.
//
// Owns the controller's part in elections and its grant. It never decides what a leader does, and never takes
// the passing of time for proof that another leader is gone: only the state service ends a grant.
#pragma once
#include <functional>
#include <string>

#include "state_client.h"

namespace corkmux {

class Election : public Actor<Election> {
 public:
  struct ElectionResult {
    std::uint64_t term = 0, revision = 0;
    double confirmed_at = 0;  // s of the steady clock
  };
  struct Callbacks {
    std::function<bool()> ready;  // whether we could lead now
    std::function<void(const ElectionResult&)> won;
    std::function<void(const char* why)> lost;
    std::function<void(double sent_at)> renewed;  // the grant still held when this was sent
    std::function<void(std::string label, std::uint64_t term)> known;  // who leads; empty label: nobody known
  };
  Election(Loop& loop, std::string label, StateClient& state, Callbacks callbacks);
  void start() { observe(); }
  /// What made us unready may be over.
  void retry();
  bool leading() const { return role_ == Role::Leading; }
  /// Asks at once whether the grant still holds.
  void renew_now() {
    if (role_ == Role::Leading) renew();
  }
  /// Whether the leader's record is still ours; otherwise the term is lost.
  void verify();
  /// Gives the grant back, so that a successor is chosen at once. `pause_s`: leaves the others that time. Any
  /// unanswered write of the term is shut out by the removal of the record it is conditioned on.
  void resign(double pause_s, std::function<void()> done = {});
  /// The term has ended in some other way.
  void step_down(double pause_s = 0);
  /// From now on only watches who leads.
  void abstain() { abstaining_ = true; }

 private:
  enum class Role { Following, Campaigning, Leading };
  void observe();
  void watch(std::uint64_t after);
  void campaign(std::uint64_t known_revision);
  void renew();
  void announce(const std::string& label, std::uint64_t term);
  template <typename Fn>
  auto guarded(Fn fn) {  // a callback that counts only while this role lasts
    return [this, epoch = epoch_, fn = std::move(fn)](auto&&... args) {
      if (epoch == epoch_) fn(std::forward<decltype(args)>(args)...);
    };
  }

  std::string label_;
  StateClient& state_;
  Callbacks callbacks_;
  Role role_ = Role::Following;
  bool abstaining_ = false;
  std::uint64_t epoch_ = 1;  // rises with each change of role
  std::uint64_t term_ = 0, revision_ = 0, leader_lease_ = 0;
  std::string leader_;
  double not_before_ = 0;
  Timer observe_timer_, renew_timer_;
};

}  // namespace corkmux
