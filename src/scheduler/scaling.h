// How many machines to hold of each type and zone.
//
// Owns no state: a pure function of the scheduler's machines and unfinished jobs, the operator's choices and
// the requests that the cloud has refused of late. It never talks to the cloud; the leader's
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

// Machines stay through the pauses between jobs, since a returned one loses its images. Once no job has been
// there for several of the usual gaps, waiting longer is more likely to cost than to spare a boot.
inline constexpr double kIdleGaps = 4.0;      // usual gaps between jobs
inline constexpr double kIdleMinimum = 30.0;  // s
inline constexpr int kMaxScaleOut = 50;       // machines per request; PROTOCOL

}  // namespace constants

/// What the cloud is asked for machines of.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

/// Machines to ask the cloud for.
struct ScaleOutRequest {
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
  /// What is asked for, without how many.
  MachineKind key() const { return {type, zone, spot}; }
};

/// Machines to ask for, and the names of those to return.
struct ScalingPlan {
  std::vector<ScaleOutRequest> scale_out;
  std::vector<std::string> scale_in;
};

/// When the cloud may be asked again for what it refused, s of the steady clock.
using RefusedUntil = std::map<MachineKind, double>;

/// The machines to ask for and to return at `now`, s of the steady clock.
ScalingPlan plan_scaling(const Scheduler& scheduler, const OperatorChoices& choices,
                         const RefusedUntil& refused_until, double now);

}  // namespace corkmux
