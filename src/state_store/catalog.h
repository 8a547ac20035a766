// The catalog of machine types: from the state store's copy or from the cloud, whichever is there first.
//
// Owns the types that are known now. It keeps known types while the cloud is away, and never removes any. An
// actor of its own, for the whole life of the controller.
#pragma once
#include <functional>
#include <vector>

#include "state_client.h"

namespace corkmux {

class Catalog : public Actor<Catalog> {
 public:
  /// Takes the machine types, on each change.
  using Listener = std::function<void(const std::vector<MachineType>&)>;
  Catalog(Loop& loop, StateClient& state, http::Client& cloud);
  void start();
  /// Adds a listener for as long as the catalog lives.
  void on_change(Listener listener) { listeners_.push_back(std::move(listener)); }
  /// The types; empty until a source has given some.
  const std::vector<MachineType>& types() const { return types_; }

 private:
  static constexpr double kRefreshInterval = 300.0;  // s
  static constexpr double kRetryPause = 1.0;         // s while no types are known

  void read_copy();
  void copy_read(const StateReply& reply);
  void ask_cloud(bool store);
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
