// The machine types: from the state service's copy, else from the cloud, whichever is there first.
#pragma once
#include <functional>
#include <vector>

#include "state_client.h"

namespace corkmux {

class Catalog : public Actor<Catalog> {
 public:
  using Listener = std::function<void(const std::vector<MachineType>&)>;
  Catalog(Loop& loop, StateClient& state, http::Client& cloud);
  void start();
  void on_change(Listener listener) { listeners_.push_back(std::move(listener)); }
  const std::vector<MachineType>& types() const { return types_; }

 private:
  void read_copy();
  void ask_cloud(bool store);
  void set(std::vector<MachineType> types);
  StateClient& state_;
  http::Client& cloud_;
  Timer timer_;
  std::vector<MachineType> types_;
  std::vector<Listener> listeners_;
};

}  // namespace corkmux
