#include "linearizable_reader.h"

#include <algorithm>
#include <utility>

#include "constants.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
namespace {

constexpr double kReadRateShare = 0.5;   // of the state store's rate limit, for all controllers together
constexpr int kMaxConditions = 200;      // in one transaction, so that its keys fit a request
constexpr int kConditionsPerChange = 4;  // allowed by the state store (the protocol, POST /multi)
constexpr int kConditionsPerJob = 2;     // one on its record, one on its outcome
constexpr double kKnownRevisionsMemoryShare = 0.02;  // of the controller's memory
constexpr double kKnownRevisionBytes = 200;          // of memory for one: name, revision, two table entries

/// Reads may use a part of the state store's rate limit, shared by all controllers. The rest is for
/// submissions, cancels and the leader, however many reads users request.
double read_rate(const Settings& settings) {
  return settings.state_rps * kReadRateShare / static_cast<double>(settings.peers.size() + 1);
}

int jobs_per_batch(const Settings& settings) {
  return std::min(kConditionsPerChange * settings.next.txn_ops, kMaxConditions) / kConditionsPerJob;
}

std::size_t max_known(const Settings& settings) {
  return static_cast<std::size_t>(settings.mem_mb * 1024 * 1024 * kKnownRevisionsMemoryShare /
                                  kKnownRevisionBytes);
}

/// The jobs whose records or outcomes a failed comparison names.
std::unordered_set<std::string> jobs_in(const std::vector<std::string>& failed_keys) {
  std::unordered_set<std::string> jobs;
  for (const auto& key : failed_keys)
    for (const auto& prefix : {kJobs, kFinals})
      if (key.rfind(prefix, 0) == 0) jobs.insert(key.substr(prefix.size()));
  return jobs;
}

}  // namespace

LinearizableReader::LinearizableReader(Loop& loop, const Settings& settings, StateClient& state, ReadJob read)
    : Actor(loop),
      state_(state),
      read_(std::move(read)),
      batcher_(read_rate(settings), jobs_per_batch(settings), max_known(settings)),
      timer_(loop) {}

void LinearizableReader::request_read(const std::string& job, Done done) {
  auto request = next_request_++;
  waiting_.emplace(request, std::move(done));
  batcher_.add(request, job, steady_now());
  if (auto revision = batcher_.revision(job);
      revision && mutation_enabled("a known revision is answered without a read"))
    return answer({request}, ReadResult{true, *revision, {}, false});
  pump();
}

void LinearizableReader::answer(const std::vector<RequestId>& requests,
                                const std::optional<ReadResult>& result) {
  for (auto request : requests) {
    auto waiting = waiting_.find(request);
    if (waiting == waiting_.end()) continue;
    auto done = std::move(waiting->second);
    waiting_.erase(waiting);
    done(result);
  }
}

void LinearizableReader::pump() {
  double now = steady_now();
  answer(batcher_.remove_overdue(now), std::nullopt);
  if (now >= paused_until_)
    while (auto batch = batcher_.next(now)) send(std::move(*batch));
  if (auto wait = batcher_.time_until_next(now))
    timer_.once(std::max({*wait, paused_until_ - now, kPumpInterval}), [this] { pump(); });
}

void LinearizableReader::send(ReadBatch batch) {
  if (batch.compare)
    compare(std::move(batch));
  else
    read_single(std::move(batch));
}

// ---------------------------------------------------------------- comparisons

void LinearizableReader::compare(ReadBatch batch) {
  std::vector<codec::Condition> conditions;
  for (std::size_t i = 0; i < batch.reads.size(); ++i) {
    // The record has to be unchanged and no outcome stored: the cancel of a record that is too long to be
    // written again shows only in its outcome.
    conditions.push_back({kJobs + batch.reads[i].job, batch.revisions[i]});
    conditions.push_back({kFinals + batch.reads[i].job, 0});
  }
  // The timeout keeps one lost answer from holding up all reads. A comparison writes nothing, so the next
  // batch may compare the same revisions.
  state_.compare(conditions, batch_timeout_, [this, batch = std::move(batch)](StateReply reply) mutable {
    compared(std::move(batch), std::move(reply));
  });
}

void LinearizableReader::compared(ReadBatch batch, StateReply reply) {
  double elapsed = steady_now() - reply.sent_at;
  // If the process stalled meanwhile, the comparison is too old to answer from.
  if (elapsed > c::kReadDeadline) reply.status = StateStatus::Unanswered;
  adapt_timeout(reply, elapsed);
  switch (reply.status) {
    case StateStatus::Ok:
      unchanged(batch);
      break;
    case StateStatus::Conflict:
      changed(std::move(batch), reply);
      break;
    case StateStatus::Invalid:
      batcher_.too_large(std::move(batch));
      break;
    case StateStatus::Refused:
      refused(std::move(batch), reply);
      break;
    case StateStatus::Missing:
    case StateStatus::Unanswered:
      batcher_.lost(std::move(batch));
      break;
  }
  pump();
}

void LinearizableReader::adapt_timeout(const StateReply& reply, double elapsed) {
  if (reply.status == StateStatus::Unanswered) {
    batch_timeout_ = std::min(c::kReadDeadline, 2 * batch_timeout_);
    return;
  }
  recent_batch_time_ += kBatchTimeSmoothing * (elapsed - recent_batch_time_);
  batch_timeout_ = std::clamp(kBatchTimeoutFactor * recent_batch_time_, kMinBatchTimeout, c::kReadDeadline);
}

void LinearizableReader::unchanged(const ReadBatch& batch) {
  batcher_.answered(batch);
  for (std::size_t i = 0; i < batch.reads.size(); ++i)
    answer(batch.reads[i].requests, ReadResult{true, batch.revisions[i], {}, batch.has_dependencies[i]});
}

void LinearizableReader::changed(ReadBatch batch, const StateReply& reply) {
  batcher_.changed(std::move(batch), jobs_in(codec::parse_failed(reply.body)));
}

/// Above its rate limit the state store answers soon, so the batch is retried; if the store is unreachable,
/// its reads fail at once.
void LinearizableReader::refused(ReadBatch batch, const StateReply& reply) {
  if (state_.last_contact() < reply.sent_at) return answer(batcher_.fail(batch), std::nullopt);
  paused_until_ = steady_now() + c::kRetryPause;
  batcher_.put_back(std::move(batch));
}

// ---------------------------------------------------------------- jobs read by themselves

void LinearizableReader::read_single(ReadBatch batch) {
  const std::string job = batch.reads.front().job;
  read_(job, [this, batch = std::move(batch)](const std::optional<ReadResult>& result) {
    single_read(batch, result);
    pump();
  });
}

void LinearizableReader::single_read(const ReadBatch& batch, const std::optional<ReadResult>& result) {
  if (!result) return answer(batcher_.fail(batch), std::nullopt);
  batcher_.answered(batch);
  const auto& read = batch.reads.front();
  if (result->unfinished)
    batcher_.note_revision(read.job, result->revision, result->has_dependencies);
  else
    batcher_.forget(read.job);
  answer(read.requests, result);
}

}  // namespace corkmux
