#include "lease_proxy.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "command_queue.h"
#include "constants.h"
#include "lease_proxy_record.h"
#include "mutation.h"

namespace corkmux {
namespace {

constexpr double kRenewalLogInterval = 10;  // s

}  // namespace

LeaseProxy::LeaseProxy(Loop& loop, const Settings& settings, StateClient& state)
    : Actor(loop),
      record_validity_(lease_proxy_span(settings.lease_s)),
      forget_after_(settings.lease_s * (1 + constants::kClockDrift) + 2 * constants::kTimeoutSafetyMargin),
      records_(settings, state),
      unfinished_jobs_(loop, state),
      write_timer_(loop) {}

bool LeaseProxy::has_valid_record(const std::string& machine) const {
  if (mutation_enabled("a lease proxy answers before its record is stored")) return true;
  return recorded_machines_.contains(machine) &&
         steady_now() - written_at_ < record_validity_ - constants::kTimeoutSafetyMargin;
}

// ---------------------------------------------------------------- messages

void LeaseProxy::renew(Heartbeat heartbeat, ReplyCallback reply) {
  const std::string& machine = heartbeat.machine;
  if (!last_heartbeat_at_.contains(machine)) {
    // Guards against records beyond the state store's size limit. The actual length of the names counts, so
    // that one controller can hold a whole zone.
    auto bytes = LeaseProxyRecords::bytes_of(machine);
    if (name_bytes_ + bytes > records_.capacity()) return reply(std::nullopt);
    name_bytes_ += bytes;
    spdlog::info("machine {} reaches this controller but not the leader: its lease is renewed by proxy",
                 machine);
  }
  last_heartbeat_at_[machine] = steady_now();
  if (has_valid_record(machine)) return check_jobs({std::move(heartbeat), std::move(reply)});
  waiting_.push_back({std::move(heartbeat), std::move(reply)});
  if (waiting_.size() == 1) write();
}

void LeaseProxy::term_changed(std::uint64_t term) {
  if (term <= constants::kLastTerm) lowest_token_ = std::max(lowest_token_, lowest_token(term));
}

void LeaseProxy::release(const std::string& machine) {
  if (last_heartbeat_at_.erase(machine)) name_bytes_ -= LeaseProxyRecords::bytes_of(machine);
}

// ---------------------------------------------------------------- records

void LeaseProxy::write() {
  if (writing_) return;
  write_timer_.stop();
  writing_ = true;
  if (records_.revisions_known())
    write_names();
  else
    read_then_write();
}

void LeaseProxy::read_then_write() {
  records_.read([this](const std::optional<std::set<std::string>>& machines) {
    if (!machines) return finish_write(false);
    for (const auto& machine : *machines) last_heartbeat_at_.try_emplace(machine, steady_now());
    write_names();
  });
}

std::set<std::string> LeaseProxy::names_to_write(double now) {
  std::erase_if(last_heartbeat_at_, [&](const auto& entry) { return now - entry.second > forget_after_; });
  // Guards against a heartbeat that is never answered: a late answer of the leader may release a worker while
  // its next heartbeat waits here.
  for (const auto& waiting : waiting_) last_heartbeat_at_.try_emplace(waiting.heartbeat.machine, now);
  std::set<std::string> names;
  name_bytes_ = 0;
  for (const auto& [machine, at] : last_heartbeat_at_) {
    names.insert(machine);
    name_bytes_ += LeaseProxyRecords::bytes_of(machine);
  }
  return names;
}

void LeaseProxy::write_names() {
  double now = steady_now();
  auto names = names_to_write(now);
  if (names.empty() && records_.empty()) {
    writing_ = false;
    return;
  }
  records_.write(names, [this, names, now](StateStatus status) { names_written(names, now, status); });
}

void LeaseProxy::names_written(std::set<std::string> names, double requested_at, StateStatus status) {
  bool ok = status == StateStatus::Ok;
  if (ok) {
    recorded_machines_ = std::move(names);
    written_at_ = requested_at;
  }
  // The first conflict is retried at once. A second in a row means that another process runs under the same
  // label: the two then write in turn.
  consecutive_conflicts_ = status == StateStatus::Conflict ? consecutive_conflicts_ + 1 : 0;
  if (consecutive_conflicts_ == 1) return read_then_write();
  finish_write(ok);
}

void LeaseProxy::finish_write(bool ok) {
  writing_ = false;
  std::vector<Waiting> still_waiting;
  for (auto& waiting : std::exchange(waiting_, {})) {
    if (!ok)
      waiting.reply(std::nullopt);
    else if (has_valid_record(waiting.heartbeat.machine))
      check_jobs(std::move(waiting));
    else  // arrived during the write, which does not name it
      still_waiting.push_back(std::move(waiting));
  }
  // Guards against turning away workers that arrived a moment too late for this write: they would next try
  // controllers on the other side of the partition.
  waiting_ = std::move(still_waiting);
  write_timer_.once(waiting_.empty() ? record_validity_ / 3 : constants::kLeaseProxyBatchDelay,
                    [this] { write(); });
}

// ---------------------------------------------------------------- answers

void LeaseProxy::check_jobs(Waiting waiting) {
  std::vector<std::string> jobs;
  for (const auto& task : waiting.heartbeat.tasks) jobs.push_back(task.job);
  unfinished_jobs_.look_up(std::move(jobs),
                           [this, waiting = std::move(waiting)](UnfinishedJobs::Result result) {
                             if (result == UnfinishedJobs::Result::Known) return answer(waiting);
                             ++refusals_;
                             waiting.reply(std::nullopt);
                           });
}

void LeaseProxy::answer(const Waiting& waiting) {
  const Heartbeat& heartbeat = waiting.heartbeat;
  if (!has_valid_record(heartbeat.machine)) {
    ++refusals_;
    return waiting.reply(std::nullopt);
  }
  std::vector<TaskCommand> stops;
  for (const auto& task : heartbeat.tasks)
    if (!unfinished_jobs_.contains(task.job) && task.state != TaskState::Exited &&
        stops.size() < constants::kMaxCommandsPerMessage)  // the next heartbeat reports the others again
      stops.push_back({TaskCommand::Op::Stop, task.job, task.index, task.attempt, 0});
  ++renewals_;
  stops_ += static_cast<int>(stops.size());
  log_renewals();
  const std::uint64_t token = std::max(heartbeat.fencing_token, lowest_token_);
  waiting.reply(codec::pack(codec::commands_to_wire(token, stops, std::nullopt)));
}

/// Logs one line for all workers, at most every kRenewalLogInterval.
void LeaseProxy::log_renewals() {
  double now = steady_now();
  if (now - logged_at_ < kRenewalLogInterval) return;
  logged_at_ = now;
  spdlog::info("leases renewed by proxy: machines={} renewals={} stops={} refused={}",
               last_heartbeat_at_.size(), std::exchange(renewals_, 0), std::exchange(stops_, 0),
               std::exchange(refusals_, 0));
}

}  // namespace corkmux
