// What each controller has declared in the state store: which record format it reads.
//
// Owns this controller's own declaration. That all controllers are new is a fact that is stored and stays, so
// it holds through any change of leader; it is never concluded from silence. An actor of its own, for the
// whole life of the controller.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "settings.h"
#include "state_client.h"

namespace corkmux {

/// What the controllers have declared, taken together.
struct RecordFormats {
  bool all_read_v2 = false;     // every controller that the settings name reads format 2
  int v1_tasks_per_record = 0;  // how many tasks a record of format 1 holds, 0: as the settings say
};

class RecordFormatNegotiation : public Actor<RecordFormatNegotiation> {
 public:
  static constexpr double kPollInterval = 1.0;  // s
  /// nullopt: the state store did not answer everything.
  using ReadCallback = std::function<void(std::optional<RecordFormats>)>;

  RecordFormatNegotiation(Loop& loop, const Settings& settings, StateClient& state);
  /// Stores which format this version reads, and tries until it is stored.
  void declare();
  /// Reads all declarations.
  void read(ReadCallback done);

 private:
  void store_declaration(const std::string& key);
  void declare_again();

  Settings settings_;
  StateClient& state_;
  Timer retry_timer_;
};

}  // namespace corkmux
