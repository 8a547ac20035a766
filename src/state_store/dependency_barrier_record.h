// The stored dependency barrier (kDependencyBarrierKey): the time up to which all dependents of cancelled
// jobs have their end stored. It is stored as wall time, since each process has a steady clock of its own.
#pragma once
#include "codec.h"

namespace corkmux {

/// The stored form of a barrier at `barrier_at`, s of the steady clock.
codec::Json dependency_barrier_to_json(double barrier_at);
/// Parses the stored form. Returns s of the steady clock, not later than now.
double parse_dependency_barrier(const codec::Json& record);

}  // namespace corkmux
