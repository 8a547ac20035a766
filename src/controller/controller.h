// One controller: all actors, wired together.
#pragma once
#include <memory>

#include "gateway.h"

namespace corkmux {

class Controller {
 public:
  Controller(Loop& loop, const Settings& settings, const OperatorChoices& choices);
  void start();
  int port() const { return gateway_.port(); }
  bool leading() const { return leader_.leading(); }

 private:
  std::string own_label_;
  StateClient state_;
  http::Client cloud_;
  Catalog catalog_;
  Leader leader_;
  Peers peers_;
  Keeper keeper_;
  Mail mail_;
  Gateway gateway_;
};

}  // namespace corkmux
