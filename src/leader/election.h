// Leader election: the leader is the controller that holds the key `leader`, which is bound to a lease of the
// state store.
//
// Owns this controller's role in elections and its leader lease. It does not act as leader itself, and never
// concludes from elapsed time that another leader is gone: only the state store ends a lease. A separate
// actor that lives as long as the controller.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "state_client.h"
#include "term.h"

namespace corkmux {

namespace constants {

inline constexpr double kUnusableTermRetryInterval = 60;  // s; the stored term only changes by hand then

}  // namespace constants

/// A won election.
struct ElectionResult {
  std::uint64_t term = 0;
  std::uint64_t revision = 0;  // of the leader's record
  double confirmed_at = 0;     // s of the steady clock
};

class Election : public Actor<Election> {
 public:
  struct Callbacks {
    std::function<bool()> ready;  // whether this controller is able to lead now
    std::function<void(const ElectionResult&)> won;
    std::function<void(StepDownReason)> lost;
    std::function<void(double sent_at)> renewed;  // the lease was still held when the renewal was sent
    /// The current leader; empty label: there is no known leader.
    std::function<void(std::string label, std::uint64_t term)> leader_observed;
  };
  using DoneCallback = std::function<void()>;
  using ReservedCallback = std::function<void(std::uint64_t term)>;

  Election(Loop& loop, std::string label, StateClient& state, Callbacks callbacks);
  void start() { observe(); }

  /// Checks again whether this controller can campaign, when Callbacks::ready() may have become true.
  void retry();
  bool leading() const { return role_ == Role::Leading; }
  /// Renews the lease at once, which shows whether it is still held.
  void renew_now();
  /// Checks that the leader's record is still that of this term; otherwise reports the term as lost.
  void verify();
  /// Reserves a further term for this leader, `at_least` or a higher one: no other controller leads under it
  /// or a lower one. `reserved` is called if it succeeded; otherwise the caller has to try again. Does
  /// nothing while a reservation is under way.
  void reserve_term(std::uint64_t at_least, ReservedCallback reserved);
  /// Revokes the lease, so that a successor is elected at once. This controller does not campaign for
  /// `pause_s`. An unanswered write of the term fails from then on, since the record it is conditioned on is
  /// removed.
  void resign(double pause_s, DoneCallback done = {});
  /// Follows again after the term has ended in a way other than resign().
  void step_down(double pause_s = 0);
  /// Only observes the leader from now on and never campaigns again.
  void abstain() { abstaining_ = true; }

 private:
  enum class Role { Following, Campaigning, Leading };
  static constexpr double kPollInterval = 0.25;  // s between reads without a leader, if unable to campaign
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
  void raise_term(std::uint64_t term, std::uint64_t term_revision, const ReservedCallback& reserved);
  void renew();
  void announce(const std::string& label, std::uint64_t term);
  /// Wraps a callback so that it does nothing after the next change of role.
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
  bool reserving_ = false;   // a further term, while leading
  std::uint64_t epoch_ = 1;  // incremented with each change of role
  std::uint64_t term_ = 0;
  std::uint64_t revision_ = 0;  // of the leader's record that this controller wrote
  LeaseId leader_lease_ = 0;
  std::string leader_;
  double campaign_not_before_ = 0;  // s of the steady clock
  Timer observe_timer_;
  Timer renew_timer_;
};

}  // namespace corkmux
