// Watermark of dependency cancellation: until when every job that needs a cancelled one has its end stored,
// as far as a leader can say.
//
// Owns that moment and what it was computed from. It needs what the leader's watch of jobs has seen and what
// the scheduler has yet to settle; it never reads the store. What it says stays true whoever leads later: it
// is about cancels and acceptances before that moment.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "time_constants.h"

namespace corkmux {

class DependencyBarrier {
 public:
  /// `known`: what an earlier term has found, s of the steady clock.
  explicit DependencyBarrier(double known) : settled_until_(known) {}
  /// Returns the moment, which never moves back. `seen`: s up to which all changes of jobs are known.
  /// `pending`: jobs whose needed job was cancelled and whose end is not stored yet. `unclear`: of some
  /// dependency it is not known yet how it ended.
  double advance(double seen, const std::vector<std::string>& pending, bool unclear);
  /// Whether changes are known that advance() has not been given yet.
  bool can_advance(double seen) const { return seen > seen_; }

 private:
  double settled_until_;
  double seen_ = kLongAgo;
  bool unclear_ = true;
  std::map<std::string, double> pending_since_;  // pending job -> a moment before the cancel that ends it
};

}  // namespace corkmux
