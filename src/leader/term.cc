#include "term.h"

namespace corkmux {

std::string_view to_string(StepDownReason reason) {
  switch (reason) {
    case StepDownReason::LeaseExpired:
      return "the leader lease expired";
    case StepDownReason::LeaderRecordChanged:
      return "the leader's record changed";
    case StepDownReason::PeerReportedNewerLeader:
      return "a peer reported a newer leader";
    case StepDownReason::WorkerFollowsNewerLeader:
      return "a worker follows a newer leader";
    case StepDownReason::LaunchNotFenced:
      return "a launch of a cancelled job may still arrive at a worker that this term's tokens do not reach";
    case StepDownReason::TokensSuperseded:
      return "workers need fencing tokens of a higher term";
    case StepDownReason::HandlerFailed:
      return "an unexpected error in a handler";
    case StepDownReason::UnreadableRecords:
      return "stored records are of a newer version";
    case StepDownReason::WorkersUnreachable:
      return "no worker reaches this controller";
    case StepDownReason::Shutdown:
      return "shutdown";
  }
  return "unknown";
}

std::string_view to_string(RecordUpgradeReason reason) {
  switch (reason) {
    case RecordUpgradeReason::AllControllersDeclared:
      return "each has declared it";
    case RecordUpgradeReason::JobHasDependencies:
      return "a job has dependencies";
    case RecordUpgradeReason::StoreLimitsLowered:
      return "the state service has lowered its limits";
  }
  return "unknown";
}

}  // namespace corkmux
