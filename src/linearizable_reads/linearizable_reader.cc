#include "linearizable_reader.h"

#include <algorithm>
#include <utility>

#include "constants.h"
#include "linearizable_reads_constants.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
namespace {

/// Questions may take a part of the state service's rate, shared by all controllers: the rest is for
/// submissions, cancels and the leader, whatever users ask.
double rate(const Settings& settings) {
  return settings.state_rps * c::kReadRateShare / static_cast<double>(settings.peers.size() + 1);
}
/// Four conditions for each change allowed (PROTOCOL, POST /multi), of which a job takes two.
int jobs_in_one(const Settings& settings) {
  return std::min(4 * settings.next.txn_ops, c::kMostConditions) / 2;
}
std::size_t most_known(const Settings& settings) {
  return static_cast<std::size_t>(settings.mem_mb * 1024 * 1024 * c::kKnownRevisionsMemoryShare /
                                  c::kKnownRevisionBytes);
}

}  // namespace

LinearizableReader::LinearizableReader(Loop& loop, const Settings& settings, StateClient& state, Read read)
    : Actor(loop),
      state_(state),
      read_(std::move(read)),
      queue_(rate(settings), jobs_in_one(settings), most_known(settings)),
      patience_(c::kReadBatchTimeout),
      timer_(loop) {}

void LinearizableReader::ask(const std::string& job, Done done) {
  auto request = next_++;
  asking_.emplace(request, std::move(done));
  queue_.ask(request, job, steady_now());
  if (auto revision = queue_.revision(job);
      revision && mutation_enabled("what was read before is told again"))
    return tell({request}, Standing{true, *revision, {}, false});
  pump();
}

void LinearizableReader::tell(const std::vector<ReadBatcher::RequestId>& requests,
                              const std::optional<Standing>& standing) {
  for (auto request : requests) {
    auto it = asking_.find(request);
    if (it == asking_.end()) continue;
    auto done = std::move(it->second);
    asking_.erase(it);
    done(standing);
  }
}

void LinearizableReader::pump() {
  double now = steady_now();
  tell(queue_.overdue(now), std::nullopt);
  if (now >= paused_until_)
    while (auto look = queue_.next(now)) send(std::move(*look));
  double wait = queue_.wait(now);
  if (wait >= 0) timer_.once(std::max({wait, paused_until_ - now, c::kReadPumpInterval}), [this] { pump(); });
}

void LinearizableReader::send(ReadBatcher::ReadBatch look) {
  if (look.compare)
    compare(std::move(look));
  else
    read(std::move(look));
}

void LinearizableReader::compare(ReadBatcher::ReadBatch look) {
  std::vector<codec::Condition> conditions;
  for (std::size_t i = 0; i < look.reads.size(); ++i) {
    // Its record unchanged and no end beside it: of a record too long to be written again only the end tells.
    conditions.push_back({kJobs + look.reads[i].job, look.revisions[i]});
    conditions.push_back({kFinals + look.reads[i].job, 0});
  }
  // Guards against one lost answer that keeps all questions waiting: nothing was written, so the next look
  // may ask the same.
  state_.compare(conditions, patience_, [this, look = std::move(look)](StateReply reply) mutable {
    double took = steady_now() - reply.sent_at;
    // Guards against a process that stood still meanwhile: what was so then is not told now.
    if (took > c::kReadDeadline) reply.status = StateStatus::Unanswered;
    if (reply.status == StateStatus::Unanswered) {
      patience_ = std::min(c::kReadDeadline, 2 * patience_);
    } else {
      took_ += c::kReadBatchSmoothing * (took - took_);
      patience_ = std::clamp(c::kReadBatchTimeoutFactor * took_, c::kReadBatchTimeout, c::kReadDeadline);
    }
    switch (reply.status) {
      case StateStatus::Ok:
        queue_.answered(look);
        for (std::size_t i = 0; i < look.reads.size(); ++i)
          tell(look.reads[i].requests, Standing{true, look.revisions[i], {}, look.has_dependencies[i]});
        break;
      case StateStatus::Conflict: {
        std::unordered_set<std::string> jobs;
        for (const auto& key : codec::parse_failed(reply.body))
          for (const auto& prefix : {kJobs, kFinals})
            if (key.rfind(prefix, 0) == 0) jobs.insert(key.substr(prefix.size()));
        queue_.changed(std::move(look), jobs);
        break;
      }
      case StateStatus::Invalid:
        queue_.too_large(std::move(look));
        break;
      case StateStatus::Refused:
        // Over its rate it answers soon; away, whoever asks is told so at once.
        if (state_.last_contact() >= reply.sent_at) {
          paused_until_ = steady_now() + c::kRetryPause;
          queue_.put_back(std::move(look));
          break;
        }
        tell(queue_.unanswered(look), std::nullopt);
        break;
      default:
        queue_.lost(std::move(look));
    }
    pump();
  });
}

void LinearizableReader::read(ReadBatcher::ReadBatch look) {
  auto job = look.reads.front().job;
  read_(job, [this, look = std::move(look)](std::optional<Standing> standing) {
    if (!standing) {
      tell(queue_.unanswered(look), std::nullopt);
      return pump();
    }
    queue_.answered(look);
    const auto& read = look.reads.front();
    if (standing->unfinished)
      queue_.learn(read.job, standing->revision, standing->has_dependencies);
    else
      queue_.forget(read.job);
    tell(read.requests, standing);
    pump();
  });
}

}  // namespace corkmux
