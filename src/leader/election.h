// Who leads: the holder of the key `leader`, which is bound to a lease of the state store.
//
// Owns the controller's part in elections and its leader lease. It never decides what a leader does, and
// never takes the passing of time for proof that another leader is gone: only the state store ends a lease.
// An actor of its own, for the whole life of the controller.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "state_client.h"
#include "term.h"

namespace corkmux {

/// A won election.
struct ElectionResult {
  std::uint64_t term = 0;
  std::uint64_t revision = 0;  // of the leader's record
  double confirmed_at = 0;     // s of the steady clock
};

class Election : public Actor<Election> {
 public:
  struct Callbacks {
    std::function<bool()> ready;  // whether this controller could lead now
    std::function<void(const ElectionResult&)> won;
    std::function<void(StepDownReason)> lost;
    std::function<void(double sent_at)> renewed;  // the lease was still held when this was sent
    std::function<void(std::string label, std::uint64_t term)> known;  // who leads; empty label: nobody known
  };
  using DoneCallback = std::function<void()>;

  Election(Loop& loop, std::string label, StateClient& state, Callbacks callbacks);
  void start() { observe(); }

  /// What made this controller unready may be over.
  void retry();
  bool leading() const { return role_ == Role::Leading; }
  /// Asks at once whether the lease still holds.
  void renew_now();
  /// Checks that the leader's record is still ours; otherwise the term is lost.
  void verify();
  /// Revokes the lease, so that a successor is chosen at once. `pause_s`: for so long this controller does
  /// not campaign. An unanswered write of the term fails from then on, since the record it is conditioned on
  /// is removed.
  void resign(double pause_s, DoneCallback done = {});
  /// The term has ended in some other way.
  void step_down(double pause_s = 0);
  /// From now on only watches who leads.
  void abstain() { abstaining_ = true; }

 private:
  enum class Role { Following, Campaigning, Leading };
  static constexpr double kPollInterval = 0.25;  // s between reads while nobody leads and we cannot
  static constexpr double kRetryInterval = 0.3;  // s after a request that the state store did not execute

  void observe();
  void observe_after(double pause_s);
  void observed(const StateReply& reply);
  void watch(std::uint64_t after);
  void campaign(std::uint64_t known_revision);
  void read_term(std::uint64_t known_revision);
  void claim(std::uint64_t known_revision, std::uint64_t term_revision);
  void claimed(const StateReply& reply);
  void abort_campaign(double pause_s);
  void renew();
  void announce(const std::string& label, std::uint64_t term);
  /// A callback that counts only while this role lasts.
  template <typename Fn>
  auto guarded(Fn fn) {
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
  std::uint64_t term_ = 0;
  std::uint64_t revision_ = 0;  // of our leader's record
  LeaseId leader_lease_ = 0;
  std::string leader_;
  double not_before_ = 0;  // s of the steady clock; no campaign is begun earlier
  Timer observe_timer_;
  Timer renew_timer_;
};

}  // namespace corkmux
