// Until when every job that needs a cancelled one has its end stored, as far as a leader can say.
//
// A pure function of what the leader's feed of jobs has seen and of what the book still has to settle. What
// it says stays true whoever leads later: it is about cancels and acceptances before that moment.
#pragma once
#include <map>
#include <string>
#include <vector>

namespace corkmux {

class DependencyBarrier {
 public:
  /// `known`: what an earlier term has found, s of the steady clock.
  explicit DependencyBarrier(double known) : at_(known) {}
  /// `seen`: s up to which all changes of jobs are in the book. `pending`: jobs whose needed job was
  /// cancelled and whose end is not stored yet. `unclear`: of some awaited job it is not known yet how it
  /// ended.
  double look(double seen, const std::vector<std::string>& pending, bool unclear);
  /// Whether look() could say anything new.
  bool news(double seen) const { return seen > seen_; }

 private:
  double at_, seen_ = -1e9;
  bool unclear_ = true;
  std::map<std::string, double> since_;  // pending job -> a moment before the cancel that ends it
};

}  // namespace corkmux
