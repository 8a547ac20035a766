// A command of the leader to a worker, about one attempt of a task.
#pragma once
#include <cstdint>
#include <string>

namespace corkmux {

struct TaskCommand {
  enum class Op { Start, Stop, Forget };
  Op op = Op::Start;
  std::string job;
  int index = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // of a stop: time for the task to save its state
};

}  // namespace corkmux
