// Linearizable reads of unfinished jobs: each answer as good as a read made for it, at a fraction of the
// requests.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "linearizable_reader.h"
#include "state_service.h"

namespace corkmux {
namespace {
namespace c = constants;

/// The plain model: what every job's record was at every moment, and a store that executes each batch by
/// itself at some moment between its sending and its answer, or refuses it, loses it, or finds it too large.
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
  const int room = 1 + static_cast<int>(rng() % 24);
  // Small, so that revisions are forgotten and learnt again.
  ReadBatcher batcher(rate, room, 40 + rng() % 60);
  Model model;
  std::uint64_t revision = 0;
  for (std::size_t i = 0; i < 60; ++i) model.history[name(i)].push_back({0, ++revision});
  struct Asked {
    std::string job;
    double at;
  };
  std::map<ReadBatcher::RequestId, Asked> open;
  struct Flight {
    double executed, answered;
    ReadBatcher::ReadBatch batch;
  };
  std::vector<Flight> flights;
  ReadBatcher::RequestId next = 1;
  int requests_sent = 0, answered = 0, given_up = 0;
  double now = 0;
  auto settle = [&](const std::vector<ReadBatcher::RequestId>& requests, std::optional<double> executed,
                    bool unfinished) {
    for (auto t : requests) {
      ASSERT_TRUE(open.count(t)) << "answered twice";
      const auto& asked = open.at(t);
      if (executed) {
        ++answered;
        EXPECT_GE(*executed, asked.at) << "an older request";
        EXPECT_EQ(model.at(asked.job, *executed) != 0, unfinished);
        EXPECT_EQ(unfinished && !model.at(asked.job, asked.at), false) << "called unfinished once it is over";
      } else {
        ++given_up;
      }
      open.erase(t);
    }
  };
  for (; now < 60; now += 0.01) {
    if (rng() % 10 == 0) {
      auto& h = model.history.at(name(rng() % 60));
      if (h.back().revision) h.push_back({now, rng() % 3 ? 0 : ++revision});
    }
    for (int k = 0; k < 3; ++k)
      if (rng() % 2) {  // some ask about jobs that nobody has submitted
        auto job = name(rng() % 8 ? rng() % 60 : 1000 + rng() % 200);
        batcher.ask(next, job, now);
        open[next++] = {job, now};
      }
    settle(batcher.overdue(now), std::nullopt, false);
    while (auto batch = batcher.next(now)) {
      ++requests_sent;
      EXPECT_LE(static_cast<int>(batch->reads.size()), room);
      double sent = now + uniform(0, 0.02);
      flights.push_back({sent, sent + uniform(0, 0.05), std::move(*batch)});
    }
    for (std::size_t i = 0; i < flights.size();) {
      if (flights[i].answered > now) {
        ++i;
        continue;
      }
      auto f = std::move(flights[i]);
      flights.erase(flights.begin() + static_cast<long>(i));
      auto luck = rng() % 20;
      if (luck == 0) {
        settle(batcher.unanswered(f.batch), std::nullopt, false);
      } else if (luck == 1) {
        f.batch.compare ? batcher.too_large(std::move(f.batch)) : batcher.put_back(std::move(f.batch));
      } else if (luck == 2) {
        batcher.lost(std::move(f.batch));
      } else if (!f.batch.compare) {
        const auto& q = f.batch.reads.front();
        batcher.answered(f.batch);
        auto found = model.at(q.job, f.executed);
        found ? batcher.learn(q.job, found) : batcher.forget(q.job);
        settle(q.requests, f.executed, found != 0);
      } else {
        std::unordered_set<std::string> failed;
        for (std::size_t k = 0; k < f.batch.reads.size(); ++k)
          if (model.at(f.batch.reads[k].job, f.executed) != f.batch.revisions[k])
            failed.insert(f.batch.reads[k].job);
        if (!failed.empty()) {
          batcher.changed(std::move(f.batch), failed);
        } else {
          batcher.answered(f.batch);
          for (const auto& q : f.batch.reads) settle(q.requests, f.executed, true);
        }
      }
    }
  }
  EXPECT_LE(requests_sent, rate * 60 + std::max(1.0, rate * c::kReadBurst)) << "beyond its share of the rate";
  for (const auto& [t, asked] : open) EXPECT_GT(asked.at, now - c::kReadDeadline - 0.1) << "nobody answered";
  EXPECT_GT(answered, 0);
}
INSTANTIATE_TEST_SUITE_P(Seeds, ReadBatcherHistories, ::testing::Range(1u, 41u));

// A storm: 200 jobs, each read every 0.6 s, which would be 333 reads a second, at 10 requests a second.
TEST(ReadBatcher, AStormIsAnsweredWithinItsShareOfTheRate) {
  ReadBatcher batcher(10, 24, 1000);
  std::map<ReadBatcher::RequestId, double> asked;
  int requests_sent = 0;
  double longest = 0;
  ReadBatcher::RequestId next = 1;
  for (int i = 0; i < 200; ++i) batcher.learn("run-" + std::to_string(i), static_cast<std::uint64_t>(i + 1));
  for (int step = 0; step < 3000; ++step) {
    double now = step * 0.01;
    for (int i = step % 60; i < 200; i += 60) {
      asked[next] = now;
      batcher.ask(next++, "run-" + std::to_string(i), now);
    }
    EXPECT_TRUE(batcher.overdue(now).empty()) << now;
    while (auto batch = batcher.next(now)) {
      ++requests_sent;
      batcher.answered(*batch);
      for (const auto& q : batch->reads)
        for (auto t : q.requests) longest = std::max(longest, now - asked.at(t));
    }
  }
  EXPECT_LE(requests_sent, 305);
  EXPECT_LT(longest, c::kReadDeadline);
}

// Guards against `forgotten`: a batch whose answer is lost neither keeps other reads waiting nor gives its
// own up, and where all comparisons are lost the jobs are read.
TEST(ReadBatcher, ReadsOfALostBatchAreInTheNextAndAtLastSentByThemselves) {
  ReadBatcher batcher(100, 4, 1000);
  batcher.learn("run-1", 1);
  batcher.learn("run-2", 2);
  batcher.ask(1, "run-1", 0);
  batcher.ask(2, "run-2", 0);
  double now = 0;
  for (int miss = 0; miss < c::kBatchMissesBeforeRead; ++miss, now += 0.1) {
    auto batch = batcher.next(now);
    ASSERT_TRUE(batch && batch->compare) << miss;
    EXPECT_EQ(batch->reads.size(), 2u);
    EXPECT_FALSE(batcher.next(now));  // one at a time
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

// 'forgotten': every poll for a job fails for 90 s while most others are answered.
TEST(ReadBatcher, NoJobGoesWithoutAnAnswerAgainAndAgain) {
  ReadBatcher batcher(2, 4, 1000);  // far too little for what is asked
  std::map<ReadBatcher::RequestId, std::string> asked;
  std::map<std::string, double> last;
  ReadBatcher::RequestId next = 1;
  for (int i = 0; i < 100; ++i) {
    auto job = "run-" + std::to_string(i);
    batcher.learn(job, 1);
    last[job] = 0;
  }
  for (int step = 0; step < 12000; ++step) {
    double now = step * 0.01;
    if (step % 200 == 0)  // always in the same order
      for (int i = 0; i < 100; ++i) {
        asked[next] = "run-" + std::to_string(i);
        batcher.ask(next++, asked[next], now);
      }
    batcher.overdue(now);
    while (auto batch = batcher.next(now)) {
      batcher.answered(*batch);
      for (const auto& q : batch->reads) last[q.job] = now;
    }
  }
  for (const auto& [job, at] : last) EXPECT_GT(at, 120 - 90) << job;
}

TEST(ReadBatcher, ReadsOfUnknownJobsEvictNothing) {
  ReadBatcher batcher(1000, 24, 10);
  for (int i = 0; i < 10; ++i) batcher.learn("run-" + std::to_string(i), 1);
  for (int i = 0; i < 5000; ++i) {
    batcher.ask(static_cast<std::uint64_t>(i + 1), "run-none-" + std::to_string(i), i);
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
            if (r.ok()) return done(LinearizableReader::Standing{true, codec::parse_value(r.body)->revision});
            if (r.status == StateStatus::Missing) return done(LinearizableReader::Standing{false, 0, "done"});
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
  int told = 0, over = 0;
  auto ask_all = [&] {
    told = over = 0;
    for (int i = 0; i < 20; ++i)
      for (int twice = 0; twice < 2; ++twice)
        reader->ask("run-" + std::to_string(i), [&](std::optional<LinearizableReader::Standing> s) {
          ASSERT_TRUE(s);
          ++told;
          over += !s->unfinished;
        });
    run([&] { return told == 40; });
    EXPECT_EQ(told, 40);
  };
  for (int i = 0; i < 20; ++i) state.put("a/run-" + std::to_string(i), {{"c", 0}});
  ask_all();
  EXPECT_EQ(over, 0);
  auto before = state.counters().requests;
  ask_all();
  EXPECT_LE(state.counters().requests - before, 3u);
  state.erase("a/run-7");
  ask_all();
  EXPECT_EQ(over, 2);
}

TEST_F(LinearizableReaderTest, AnEndBesideAnUnchangedRecordIsSeen) {
  state.put("a/run-1", {{"c", 0}});
  reader->learn("run-1", 1);
  state.put("f/run-1", {{"p", "cancelled"}});  // of a record too long to be written again
  bool told = false, read = false;
  Settings s;
  s.state_rps = 400;
  s.next = {500, 8, 12};
  LinearizableReader other(loop, s, client, [&](const std::string&, LinearizableReader::Done done) {
    read = true;
    done(LinearizableReader::Standing{false, 0, "cancelled"});
  });
  other.learn("run-1", 1);
  other.ask("run-1", [&](std::optional<LinearizableReader::Standing> standing) {
    told = true;
    ASSERT_TRUE(standing);
    EXPECT_EQ(standing->phase, "cancelled");
  });
  run([&] { return told; });
  EXPECT_TRUE(read);
}

TEST_F(LinearizableReaderTest, AnOutageIsReportedAtOnce) {
  state.put("a/run-1", {{"c", 0}});
  reader->learn("run-1", 1);
  state.faults.unavailable = true;
  bool told = false;
  double before = steady_now();
  reader->ask("run-1", [&](std::optional<LinearizableReader::Standing> standing) {
    told = true;
    EXPECT_FALSE(standing);
  });
  run([&] { return told; });
  EXPECT_TRUE(told);
  EXPECT_LT(steady_now() - before, 1);
}

}  // namespace
}  // namespace corkmux
