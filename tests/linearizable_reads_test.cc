// Linearizable reads of unfinished jobs: each answer is as current as a read of its own would be, with a
// fraction of the requests.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "linearizable_reader.h"
#include "state_service.h"

namespace corkmux {
namespace {
namespace c = constants;

/// Reference model: the record of every job at every moment, and a store that executes each batch by itself
/// at some moment between its sending and its answer, or refuses it, loses it, or finds it too large.
struct Model {
  struct Change {
    double at;
    std::uint64_t revision;  // 0: no record, the job is over
  };
  std::map<std::string, std::vector<Change>> history;
  std::uint64_t at(const std::string& job, double time) const {
    std::uint64_t revision = 0;
    if (auto it = history.find(job); it != history.end())
      for (const auto& change : it->second)
        if (change.at <= time) revision = change.revision;
    return revision;
  }
};

class ReadBatcherHistories : public ::testing::TestWithParam<unsigned> {};

TEST_P(ReadBatcherHistories, EveryReadIsAnsweredOnceAndNeverByAnOlderRequest) {
  std::mt19937 rng(GetParam());
  auto uniform = [&](double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng); };
  auto name = [](std::size_t i) { return "run-" + std::to_string(i); };
  const double rate = uniform(5, 40);
  const int jobs_per_batch = 1 + static_cast<int>(rng() % 24);
  // Small, so that revisions are evicted and noted again.
  ReadBatcher batcher(rate, jobs_per_batch, 40 + rng() % 60);
  Model model;
  std::uint64_t revision = 0;
  for (std::size_t i = 0; i < 60; ++i) model.history[name(i)].push_back({0, ++revision});
  struct OpenRead {
    std::string job;
    double at;
  };
  std::map<ReadBatcher::RequestId, OpenRead> open;
  struct BatchInFlight {
    double executed, answered;
    ReadBatcher::ReadBatch batch;
  };
  std::vector<BatchInFlight> batches_in_flight;
  ReadBatcher::RequestId next = 1;
  int requests_sent = 0, answered = 0, expired = 0;
  double now = 0;
  auto settle = [&](const std::vector<ReadBatcher::RequestId>& requests, std::optional<double> executed,
                    bool unfinished) {
    for (auto request : requests) {
      ASSERT_TRUE(open.count(request)) << "answered twice";
      const auto& requested = open.at(request);
      if (executed) {
        ++answered;
        EXPECT_GE(*executed, requested.at) << "an older request";
        EXPECT_EQ(model.at(requested.job, *executed) != 0, unfinished);
        EXPECT_EQ(unfinished && !model.at(requested.job, requested.at), false)
            << "reported as unfinished after its end";
      } else {
        ++expired;
      }
      open.erase(request);
    }
  };
  for (; now < 60; now += 0.01) {
    if (rng() % 10 == 0) {
      auto& changes = model.history.at(name(rng() % 60));
      if (changes.back().revision) changes.push_back({now, rng() % 3 ? 0 : ++revision});
    }
    for (int k = 0; k < 3; ++k)
      if (rng() % 2) {  // some reads are of jobs that were never submitted
        auto job = name(rng() % 8 ? rng() % 60 : 1000 + rng() % 200);
        batcher.add(next, job, now);
        open[next++] = {job, now};
      }
    settle(batcher.remove_overdue(now), std::nullopt, false);
    while (auto batch = batcher.next(now)) {
      ++requests_sent;
      EXPECT_LE(static_cast<int>(batch->reads.size()), jobs_per_batch);
      double sent = now + uniform(0, 0.02);
      batches_in_flight.push_back({sent, sent + uniform(0, 0.05), std::move(*batch)});
    }
    for (std::size_t i = 0; i < batches_in_flight.size();) {
      if (batches_in_flight[i].answered > now) {
        ++i;
        continue;
      }
      auto flight = std::move(batches_in_flight[i]);
      batches_in_flight.erase(batches_in_flight.begin() + static_cast<long>(i));
      auto outcome = rng() % 20;
      if (outcome == 0) {
        settle(batcher.fail(flight.batch), std::nullopt, false);
      } else if (outcome == 1) {
        flight.batch.compare ? batcher.too_large(std::move(flight.batch))
                             : batcher.put_back(std::move(flight.batch));
      } else if (outcome == 2) {
        batcher.lost(std::move(flight.batch));
      } else if (!flight.batch.compare) {
        const auto& read = flight.batch.reads.front();
        batcher.answered(flight.batch);
        auto found = model.at(read.job, flight.executed);
        found ? batcher.note_revision(read.job, found) : batcher.forget(read.job);
        settle(read.requests, flight.executed, found != 0);
      } else {
        std::unordered_set<std::string> failed;
        for (std::size_t k = 0; k < flight.batch.reads.size(); ++k)
          if (model.at(flight.batch.reads[k].job, flight.executed) != flight.batch.revisions[k])
            failed.insert(flight.batch.reads[k].job);
        if (!failed.empty()) {
          batcher.changed(std::move(flight.batch), failed);
        } else {
          batcher.answered(flight.batch);
          for (const auto& read : flight.batch.reads) settle(read.requests, flight.executed, true);
        }
      }
    }
  }
  EXPECT_LE(requests_sent, rate * 60 + std::max(1.0, rate * c::kReadBurst)) << "beyond its share of the rate";
  for (const auto& [request, requested] : open)
    EXPECT_GT(requested.at, now - c::kReadDeadline - 0.1) << "no answer";
  EXPECT_GT(answered, 0);
}
INSTANTIATE_TEST_SUITE_P(Seeds, ReadBatcherHistories, ::testing::Range(1u, 41u));

// 200 jobs, each read every 0.6 s: 333 reads a second, with 10 requests a second.
TEST(ReadBatcher, ManyReadsAreAnsweredWithinTheRateShare) {
  ReadBatcher batcher(10, 24, 1000);
  std::map<ReadBatcher::RequestId, double> requested;
  int requests_sent = 0;
  double longest = 0;
  ReadBatcher::RequestId next = 1;
  for (int i = 0; i < 200; ++i)
    batcher.note_revision("run-" + std::to_string(i), static_cast<std::uint64_t>(i + 1));
  for (int step = 0; step < 3000; ++step) {
    double now = step * 0.01;
    for (int i = step % 60; i < 200; i += 60) {
      requested[next] = now;
      batcher.add(next++, "run-" + std::to_string(i), now);
    }
    EXPECT_TRUE(batcher.remove_overdue(now).empty()) << now;
    while (auto batch = batcher.next(now)) {
      ++requests_sent;
      batcher.answered(*batch);
      for (const auto& read : batch->reads)
        for (auto request : read.requests) longest = std::max(longest, now - requested.at(request));
    }
  }
  EXPECT_LE(requests_sent, 305);
  EXPECT_LT(longest, c::kReadDeadline);
}

// Guards against violations of the invariant `forgotten`: a batch whose answer is lost neither delays other
// reads nor ends its own; where all comparisons are lost, the jobs are read by themselves.
TEST(ReadBatcher, ReadsOfALostBatchAreRetriedAndAtLastSentByThemselves) {
  ReadBatcher batcher(100, 4, 1000);
  batcher.note_revision("run-1", 1);
  batcher.note_revision("run-2", 2);
  batcher.add(1, "run-1", 0);
  batcher.add(2, "run-2", 0);
  double now = 0;
  for (int miss = 0; miss < c::kMissesBeforeSingleRead; ++miss, now += 0.1) {
    auto batch = batcher.next(now);
    ASSERT_TRUE(batch && batch->compare) << miss;
    EXPECT_EQ(batch->reads.size(), 2u);
    EXPECT_FALSE(batcher.next(now));  // one batch in flight at a time
    batcher.lost(std::move(*batch));
  }
  std::set<std::string> read;
  for (int i = 0; i < 2; ++i) {
    auto batch = batcher.next(now);
    ASSERT_TRUE(batch && !batch->compare);
    read.insert(batch->reads.front().job);
    batcher.answered(*batch);
  }
  EXPECT_EQ(read, (std::set<std::string>{"run-1", "run-2"}));
}

// Guards against violations of the invariant `forgotten`: every poll for a job fails for 90 s while most
// others are answered.
TEST(ReadBatcher, NoJobIsStarved) {
  ReadBatcher batcher(2, 4, 1000);  // far too few requests for these reads
  std::map<ReadBatcher::RequestId, std::string> requested;
  std::map<std::string, double> last;
  ReadBatcher::RequestId next = 1;
  for (int i = 0; i < 100; ++i) {
    auto job = "run-" + std::to_string(i);
    batcher.note_revision(job, 1);
    last[job] = 0;
  }
  for (int step = 0; step < 12000; ++step) {
    double now = step * 0.01;
    if (step % 200 == 0)  // always in the same order
      for (int i = 0; i < 100; ++i) {
        requested[next] = "run-" + std::to_string(i);
        batcher.add(next++, requested[next], now);
      }
    batcher.remove_overdue(now);
    while (auto batch = batcher.next(now)) {
      batcher.answered(*batch);
      for (const auto& read : batch->reads) last[read.job] = now;
    }
  }
  for (const auto& [job, at] : last) EXPECT_GT(at, 120 - 90) << job;
}

TEST(ReadBatcher, ReadsOfUnknownJobsEvictNothing) {
  ReadBatcher batcher(1000, 24, 10);
  for (int i = 0; i < 10; ++i) batcher.note_revision("run-" + std::to_string(i), 1);
  for (int i = 0; i < 5000; ++i) {
    batcher.add(static_cast<std::uint64_t>(i + 1), "run-none-" + std::to_string(i), i);
    while (auto batch = batcher.next(i)) batcher.answered(*batch);
  }
  EXPECT_EQ(batcher.known(), 10u);
}

// ---------------------------------------------------------------- against a state store

struct LinearizableReaderTest : ::testing::Test {
  Loop loop;
  simulation::StateService state{loop};
  StateClient client{loop, state.address()};
  std::unique_ptr<LinearizableReader> reader;
  void SetUp() override {
    Settings s;
    s.state_rps = 400;
    s.next = {500, 8, 12};
    reader = std::make_unique<LinearizableReader>(
        loop, s, client, [this](const std::string& job, LinearizableReader::Done done) {
          client.get("a/" + job, [done](StateReply r) {
            if (r.ok())
              return done(LinearizableReader::ReadResult{true, codec::parse_value(r.body)->revision});
            if (r.status == StateStatus::Missing)
              return done(LinearizableReader::ReadResult{false, 0, "done"});
            done(std::nullopt);
          });
        });
  }
  void run(const std::function<bool()>& condition) {
    double until = steady_now() + 20;
    while (!condition() && steady_now() < until) loop.run_once();
  }
};

TEST_F(LinearizableReaderTest, ManyReadsShareOneRequestAndAChangeIsSeen) {
  int answers = 0, ended = 0;
  auto read_all = [&] {
    answers = ended = 0;
    for (int i = 0; i < 20; ++i)
      for (int twice = 0; twice < 2; ++twice)
        reader->request_read("run-" + std::to_string(i),
                             [&](std::optional<LinearizableReader::ReadResult> result) {
                               ASSERT_TRUE(result);
                               ++answers;
                               ended += !result->unfinished;
                             });
    run([&] { return answers == 40; });
    EXPECT_EQ(answers, 40);
  };
  for (int i = 0; i < 20; ++i) state.put("a/run-" + std::to_string(i), {{"c", 0}});
  read_all();
  EXPECT_EQ(ended, 0);
  auto before = state.counters().requests;
  read_all();
  EXPECT_LE(state.counters().requests - before, 3u);
  state.erase("a/run-7");
  read_all();
  EXPECT_EQ(ended, 2);
}

TEST_F(LinearizableReaderTest, AnEndBesideAnUnchangedRecordIsSeen) {
  state.put("a/run-1", {{"c", 0}});
  reader->note_revision("run-1", 1);
  state.put("f/run-1", {{"p", "cancelled"}});  // as for a record that is too long to be written again
  bool answered = false, read = false;
  Settings s;
  s.state_rps = 400;
  s.next = {500, 8, 12};
  LinearizableReader other(loop, s, client, [&](const std::string&, LinearizableReader::Done done) {
    read = true;
    done(LinearizableReader::ReadResult{false, 0, "cancelled"});
  });
  other.note_revision("run-1", 1);
  other.request_read("run-1", [&](std::optional<LinearizableReader::ReadResult> result) {
    answered = true;
    ASSERT_TRUE(result);
    EXPECT_EQ(result->phase, "cancelled");
  });
  run([&] { return answered; });
  EXPECT_TRUE(read);
}

TEST_F(LinearizableReaderTest, AnOutageIsReportedAtOnce) {
  state.put("a/run-1", {{"c", 0}});
  reader->note_revision("run-1", 1);
  state.faults.unavailable = true;
  bool answered = false;
  double before = steady_now();
  reader->request_read("run-1", [&](std::optional<LinearizableReader::ReadResult> result) {
    answered = true;
    EXPECT_FALSE(result);
  });
  run([&] { return answered; });
  EXPECT_TRUE(answered);
  EXPECT_LT(steady_now() - before, 1);
}

}  // namespace
}  // namespace corkmux
