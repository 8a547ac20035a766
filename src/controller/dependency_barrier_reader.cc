#include "dependency_barrier_reader.h"

#include "dependency_barrier_record.h"
#include "scheduler_constants.h"
#include "store_keys.h"

namespace corkmux {

/// Prevents the answer "queued" for a job that can never run because a job that it depends on was cancelled
/// more than cancel_s ago: only the leader stores the end of such a job, and since the cancel there may have
/// been no leader or no state store. Only a barrier that was known before the job was read counts. A leader
/// of an older version announces no barrier and writes no record; then no answer is held back.
bool DependencyBarrierReader::may_report_unfinished(double barrier_at_before_read) {
  double now = steady_now();
  if (now - barrier_at_before_read < cancel_s_ - constants::kCancelReserve) return true;
  if (!reading_ && now - read_at_ > constants::kBarrierReadInterval) {
    reading_ = true;
    read_at_ = now;
    read_record();
  }
  return record_ == RecordState::Absent && barrier_at() < 0;
}

void DependencyBarrierReader::read_record() {
  state_.get(kDependencyBarrierKey, [this](StateReply reply) {
    reading_ = false;
    auto stored = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
    if (stored) {
      peer_exchange_.update_dependency_barrier(parse_dependency_barrier(stored->value));
      record_ = RecordState::Present;
    } else if (reply.status == StateStatus::Missing) {
      record_ = RecordState::Absent;
    }
  });
}

}  // namespace corkmux
