// The base class of all actors. An actor owns its state; other code only posts messages to it, which run one
// at a time on the loop.
#pragma once
#include <functional>
#include <utility>

#include "loop.h"

namespace corkmux {

template <typename Self>
class Actor {
 public:
  explicit Actor(Loop& loop) : loop_(loop) {}
  /// Posts a message to this actor. The actor has to outlive the loop's queue.
  void tell(std::function<void(Self&)> message) {
    loop_.post([this, message = std::move(message)] { message(static_cast<Self&>(*this)); });
  }

 protected:
  ~Actor() = default;
  Loop& loop_;
};

}  // namespace corkmux
