#include "lease_proxy.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "constants.h"
#include "lease_proxy_record.h"
#include "mutation.h"

namespace corkmux {

LeaseProxy::LeaseProxy(Loop& loop, const Settings& settings, StateClient& state)
    : Actor(loop),
      span_(lease_proxy_span(settings.lease_s)),
      forget_after_(settings.lease_s * (1 + constants::kClockDrift) + 2 * constants::kProofMargin),
      records_(settings, state),
      unfinished_jobs_(loop, state),
      write_timer_(loop) {}

bool LeaseProxy::entitled(const std::string& machine) const {
  if (mutation_enabled("a keeper answers before its record is stored")) return true;
  return written_.contains(machine) && steady_now() - written_at_ < span_ - constants::kProofMargin;
}

// ---------------------------------------------------------------- messages

void LeaseProxy::renew(Heartbeat heartbeat, ReplyCallback reply) {
  const std::string& machine = heartbeat.machine;
  if (!seen_.contains(machine)) {
    // Guards against a record beyond the store's limit; what counts is the names' own length, so that one
    // controller holds a whole zone.
    auto bytes = LeaseProxyRecords::bytes_of(machine);
    if (seen_bytes_ + bytes > records_.capacity()) return reply(std::nullopt);
    seen_bytes_ += bytes;
    spdlog::info("machine {} reaches us but not the leader: its lease is renewed by proxy", machine);
  }
  seen_[machine] = steady_now();
  if (entitled(machine)) return check_jobs({std::move(heartbeat), std::move(reply)});
  waiting_.push_back({std::move(heartbeat), std::move(reply)});
  if (waiting_.size() == 1) write();
}

void LeaseProxy::release(const std::string& machine) {
  if (seen_.erase(machine)) seen_bytes_ -= LeaseProxyRecords::bytes_of(machine);
}

// ---------------------------------------------------------------- records

void LeaseProxy::write() {
  if (writing_) return;
  write_timer_.stop();
  writing_ = true;
  if (records_.known())
    write_names();
  else
    read_then_write();
}

void LeaseProxy::read_then_write() {
  records_.read([this](const std::optional<std::set<std::string>>& machines) {
    if (!machines) return finish_write(false);
    for (const auto& machine : *machines) seen_.try_emplace(machine, steady_now());
    write_names();
  });
}

std::set<std::string> LeaseProxy::names_to_write(double now) {
  std::erase_if(seen_, [&](const auto& entry) { return now - entry.second > forget_after_; });
  // Guards against one that never gets its answer: a worker may be released, by an answer that came late
  // after all, while its next heartbeat waits here.
  for (const auto& waiting : waiting_) seen_.try_emplace(waiting.heartbeat.machine, now);
  std::set<std::string> names;
  seen_bytes_ = 0;
  for (const auto& [machine, at] : seen_) {
    names.insert(machine);
    seen_bytes_ += LeaseProxyRecords::bytes_of(machine);
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

void LeaseProxy::names_written(std::set<std::string> names, double asked_at, StateStatus status) {
  bool ok = status == StateStatus::Ok;
  if (ok) {
    written_ = std::move(names);
    written_at_ = asked_at;
  }
  // Once more at once; who still conflicts then is another process under our name, and takes turns with us.
  conflicts_ = status == StateStatus::Conflict ? conflicts_ + 1 : 0;
  if (conflicts_ == 1) return read_then_write();
  finish_write(ok);
}

void LeaseProxy::finish_write(bool ok) {
  writing_ = false;
  std::vector<Waiting> later;
  for (auto& waiting : std::exchange(waiting_, {})) {
    if (!ok)
      waiting.reply(std::nullopt);
    else if (entitled(waiting.heartbeat.machine))
      check_jobs(std::move(waiting));
    else  // came while this was written
      later.push_back(std::move(waiting));
  }
  // Guards against sending workers on, into the cut, that only came a moment too late for this write.
  waiting_ = std::move(later);
  write_timer_.once(waiting_.empty() ? span_ / 3 : constants::kLeaseProxyBatchDelay, [this] { write(); });
}

// ---------------------------------------------------------------- answers

void LeaseProxy::check_jobs(Waiting waiting) {
  std::vector<std::string> jobs;
  for (const auto& task : waiting.heartbeat.tasks) jobs.push_back(task.job);
  unfinished_jobs_.look_up(std::move(jobs),
                           [this, waiting = std::move(waiting)](UnfinishedJobs::Result result) {
                             if (result == UnfinishedJobs::Result::Unreadable)
                               return waiting.reply(std::nullopt);
                             answer(waiting);
                           });
}

void LeaseProxy::answer(const Waiting& waiting) const {
  const Heartbeat& heartbeat = waiting.heartbeat;
  if (!entitled(heartbeat.machine)) return waiting.reply(std::nullopt);
  std::vector<TaskCommand> stops;
  for (const auto& task : heartbeat.tasks)
    if (!unfinished_jobs_.contains(task.job) && task.state != TaskState::Exited)
      stops.push_back({TaskCommand::Op::Stop, task.job, task.index, task.attempt, 0});
  waiting.reply(codec::pack(codec::commands_to_wire(heartbeat.fencing_token, stops, std::nullopt)));
}

}  // namespace corkmux
