// The record that tells until when all dependents of cancelled jobs have their end (kDependencyBarrierKey).
// It holds wall time, since each process has a steady clock of its own.
#pragma once
#include "codec.h"

namespace corkmux {

/// The stored form of a barrier that stands at `barrier_at`, s of the steady clock.
codec::Json dependency_barrier_to_json(double barrier_at);
/// Reads the stored form: s of the steady clock, not later than now.
double parse_dependency_barrier(const codec::Json& record);

}  // namespace corkmux
