// Amounts of CPUs, GPUs and memory that machines have and tasks need.
#pragma once
#include <algorithm>

namespace corkmux {

/// Amounts that differ by less count as equal, since sums of fractions round differently by the order of
/// addition.
inline constexpr double kResourceTolerance = 1e-6;

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  /// How many requests of this size fit into the capacity: at most a million, which is also the result for an
  /// empty request.
  int times_in(const Resources& capacity) const {
    double times = 1e6;
    if (cpus > 0) times = std::min(times, capacity.cpus / cpus);
    if (gpus > 0) times = std::min(times, capacity.gpus / gpus);
    if (memory_gb > 0) times = std::min(times, capacity.memory_gb / memory_gb);
    return std::max(0, static_cast<int>(times + kResourceTolerance));
  }
  /// Whether a request of this size fits into the capacity.
  bool fits(const Resources& capacity) const {
    return cpus <= capacity.cpus + kResourceTolerance && gpus <= capacity.gpus + kResourceTolerance &&
           memory_gb <= capacity.memory_gb + kResourceTolerance;
  }
};

}  // namespace corkmux
