// Rebuilds the book from the state service when a term begins: unfinished jobs, then the records of their
// tasks.
//
// Owns nothing beyond the load; what it reads grows with unfinished work alone, never with finished jobs.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "cluster.h"
#include "job_feed.h"
#include "state_client.h"
#include "term.h"

namespace corkmux {

class Loader : public Actor<Loader> {
 public:
  struct Hooks {
    std::function<void(std::vector<std::string> garbage)> loaded;  // keys whose records say nothing any more
    std::function<void(const std::string& key)> too_new;           // a newer version wrote this record
  };
  Loader(Loop& loop, StateClient& state, Term& term, Cluster& book, JobFeed& feed, Hooks hooks);
  void start();

 private:
  void load_records(const std::string& prefix, const std::string& after);
  StateClient& state_;
  Term& term_;
  Cluster& book_;
  JobFeed& feed_;
  Hooks hooks_;
  std::vector<std::string> garbage_;
  std::string too_new_;
  Timer timer_;
};

}  // namespace corkmux
