// Plans how many machines to hold of each type and zone.
//
// Owns no state: a pure function of the scheduler's machines and unfinished jobs, the operator's choices and
// the requests that the cloud has recently refused. It sends no requests to the cloud; the leader's
// MachineProvisioner carries the plan out.
#pragma once
#include <compare>
#include <map>
#include <string>
#include <vector>

#include "scheduler.h"
#include "settings.h"

namespace corkmux {
namespace constants {

// Machines are kept through the pauses between jobs, because a returned machine loses its images. Once there
// was no job for several usual gaps, keeping the machines longer is more likely to cost money than to save a
// boot.
inline constexpr double kIdleGaps = 4.0;      // in usual gaps between jobs
inline constexpr double kIdleMinimum = 30.0;  // s
inline constexpr int kMaxScaleOut = 50;       // machines per request; limit of the protocol

}  // namespace constants

/// The kind of machine in a request to the cloud.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

/// Machines to request from the cloud.
struct ScaleOutRequest {
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
  /// The requested kind of machine, without the count.
  MachineKind key() const { return {type, zone, spot}; }
};

/// Machines to request, and the names of those to return.
struct ScalingPlan {
  std::vector<ScaleOutRequest> scale_out;
  std::vector<std::string> scale_in;
};

/// When a refused kind of machine may be requested again, s of the steady clock.
using RefusedUntil = std::map<MachineKind, double>;

/// Returns the machines to request and to return at `now`, s of the steady clock.
ScalingPlan plan_scaling(const Scheduler& scheduler, const OperatorChoices& choices,
                         const RefusedUntil& refused_until, double now);

}  // namespace corkmux
