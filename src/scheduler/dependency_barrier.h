// Watermark of dependency cancellation: the latest moment for which a leader can guarantee that every job
// accepted before it, and depending on a job cancelled before it, has its end stored.
//
// Owns the watermark (the barrier) and the inputs it was computed from. The inputs are how far the leader's
// job watch has observed changes and which jobs the scheduler has yet to end; the barrier never reads the
// state store. It stays valid under any later leader, because it covers only cancels and acceptances before
// that moment.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "time_constants.h"

namespace corkmux {

class DependencyBarrier {
 public:
  /// `initial_barrier_at`: the barrier that an earlier term computed, s of the steady clock.
  explicit DependencyBarrier(double initial_barrier_at) : barrier_at_(initial_barrier_at) {}
  /// Returns the barrier, which never moves back. `observed_until`: s of the steady clock up to which all job
  /// changes have been observed. `pending`: jobs that depend on a cancelled job and whose end is not stored
  /// yet. `outcomes_missing`: the outcome of some dependency has not been read yet.
  double advance(double observed_until, const std::vector<std::string>& pending, bool outcomes_missing);
  /// Whether job changes have been observed beyond the last call of advance().
  bool can_advance(double observed_until) const { return observed_until > observed_until_; }

 private:
  double barrier_at_;
  double observed_until_ = kLongAgo;
  bool outcomes_missing_ = true;
  std::map<std::string, double> pending_since_;  // pending job -> a moment before the cancel that ends it
};

}  // namespace corkmux
