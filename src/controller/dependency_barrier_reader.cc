#include "dependency_barrier_reader.h"

#include "dependency_barrier_record.h"
#include "scheduler_constants.h"
#include "store_keys.h"

namespace corkmux {

/// Guards against calling a job queued that can never run, since one that it needs was cancelled longer than
/// cancel_s ago: its end is the leader's to store, and there may have been none, or no state service, since
/// then. What counts is what was known before the job was read. A leader of a former version says nothing,
/// and writes no record: then nothing is held back.
bool DependencyBarrierReader::may_be_called_unfinished(double barrier_at_before) {
  double now = steady_now();
  if (now - barrier_at_before < cancel_s_ - constants::kCancelReserve) return true;
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
