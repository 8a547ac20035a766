// Rebuilds the scheduler's state from the state store when a term begins: unfinished jobs, then the records
// of their tasks.
//
// Holds state only during the load. The amount of data read grows with unfinished work only, not with
// finished jobs. An actor of one term.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "job_watcher.h"
#include "scheduler.h"
#include "state_client.h"
#include "term.h"

namespace corkmux {

class StateLoader : public Actor<StateLoader> {
 public:
  struct Callbacks {
    std::function<void(std::vector<std::string> garbage)> loaded;  // keys of obsolete records
    std::function<void(const std::string& key)> too_new;           // a newer version wrote this record
  };
  StateLoader(Loop& loop, StateClient& state, Term& term, Scheduler& scheduler, JobWatcher& job_watcher,
              Callbacks callbacks);
  void start();

 private:
  void load_records(const std::string& prefix, const std::string& after);
  void load_record(const codec::KeyValue& stored);
  void records_read(const std::string& prefix, const ReadEnd& end);

  StateClient& state_;
  Term& term_;
  Scheduler& scheduler_;
  JobWatcher& job_watcher_;
  Callbacks callbacks_;
  std::vector<std::string> garbage_;
  std::string too_new_;  // key of a record that a newer version wrote
  Timer retry_timer_;
};

}  // namespace corkmux
