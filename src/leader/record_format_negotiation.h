// What each controller has said of itself in the state service: which form of records it reads.
//
// Owns this controller's own statement. That all are new is a fact that is stored and stays, so it holds
// through any change of leader; it is never concluded from silence.
#pragma once
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "settings.h"
#include "state_client.h"

namespace corkmux {

class RecordFormatNegotiation : public Actor<RecordFormatNegotiation> {
 public:
  struct RecordFormats {
    bool all_read_v2 = false;     // every controller that the settings name reads the second form
    int v1_tasks_per_record = 0;  // tasks a record of the first form was cut into, 0: as the settings say
  };
  RecordFormatNegotiation(Loop& loop, const Settings& settings, StateClient& state);
  /// Says in the store which form this version reads, and tries until it stands there.
  void declare();
  /// nullopt: the state service did not answer everything.
  void read(std::function<void(std::optional<RecordFormats>)> done);

 private:
  Settings settings_;
  StateClient& state_;
  Timer timer_;
};

}  // namespace corkmux
