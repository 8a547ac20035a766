// Declares in the state store which record format this controller reads, and reads the declarations of all
// controllers.
//
// Owns this controller's own declaration. Declarations stay stored, so once all controllers are upgraded this
// holds through any change of leader; it is never concluded from a missing answer. A separate actor that
// lives as long as the controller.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "settings.h"
#include "state_client.h"

namespace corkmux {

/// The combined declarations of all controllers.
struct RecordFormats {
  bool all_read_v2 = false;     // every controller that the settings name reads format 2
  int v1_tasks_per_record = 0;  // tasks in a record of format 1; 0: as the settings define
};

class RecordFormatNegotiation : public Actor<RecordFormatNegotiation> {
 public:
  static constexpr double kPollInterval = 1.0;  // s
  /// nullopt: the state store did not answer all reads.
  using ReadCallback = std::function<void(std::optional<RecordFormats>)>;

  RecordFormatNegotiation(Loop& loop, const Settings& settings, StateClient& state);
  /// Stores which format this version reads; retries until it is stored.
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
