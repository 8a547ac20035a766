// The catalog of machine types, loaded from the state store's copy or from the cloud, whichever is available
// first.
//
// Owns the current types. It keeps them while the cloud is unreachable, and never replaces them by an empty
// list. A separate actor that lives as long as the controller.
#pragma once
#include <functional>
#include <vector>

#include "state_client.h"

namespace corkmux {

namespace constants {
inline constexpr double kCloudTimeout = 4.0;  // s for a request to the cloud's interface
}

class Catalog : public Actor<Catalog> {
 public:
  /// Called with the machine types on each change.
  using Listener = std::function<void(const std::vector<MachineType>&)>;
  Catalog(Loop& loop, StateClient& state, http::Client& cloud);
  void start();
  /// Adds a listener for as long as the catalog lives.
  void on_change(Listener listener) { listeners_.push_back(std::move(listener)); }
  /// The types; empty until a source has returned some.
  const std::vector<MachineType>& types() const { return types_; }

 private:
  static constexpr double kRefreshInterval = 300.0;  // s
  static constexpr double kRetryPause = 1.0;         // s while there are no types

  void read_copy();
  void copy_read(const StateReply& reply);
  void request_from_cloud(bool store);
  void cloud_answered(const http::Result& result, bool store);
  void refresh_later();
  void set(std::vector<MachineType> types);

  StateClient& state_;
  http::Client& cloud_;
  Timer timer_;
  std::vector<MachineType> types_;
  std::vector<Listener> listeners_;
};

}  // namespace corkmux
