// Sends the book's orders to workers and asks single workers for their reports.
//
// Owns the connections to workers. What an unanswered order means is the book's to say.
#pragma once
#include <memory>
#include <string>
#include <unordered_map>

#include "cluster.h"
#include "http.h"
#include "term.h"

namespace corkmux {

class WorkerOrders : public Actor<WorkerOrders> {
 public:
  WorkerOrders(Loop& loop, Term& term, Cluster& book, TermHooks hooks);
  /// Sends whatever the book has for machines that can be sent to now.
  void flush();
  /// Asks a worker for its report.
  void inspect(const std::string& machine);
  /// Forgets connections to machines that are gone.
  void sweep();
  bool idle() const { return in_flight_ == 0; }

 private:
  void send(const std::string& machine);
  http::Client& worker(const Machine& m);
  Term& term_;
  Cluster& book_;
  TermHooks hooks_;
  int in_flight_ = 0;
  std::unordered_map<std::string, std::unique_ptr<http::Client>> workers_;
};

}  // namespace corkmux
