#include "http.h"

#include <gtest/gtest.h>

#include "net_constants.h"

namespace corkmux::http {
namespace {

const std::string kRequest = "POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
const std::string kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: 1\r\n\r\n";

TEST(Parser, ParsesARequestSplitAtEveryByte) {
  for (std::size_t cut = 0; cut <= kRequest.size(); ++cut) {
    Parser p(Parser::Mode::Request, 100);
    auto first = p.feed(kRequest.substr(0, cut));
    auto state = cut == kRequest.size() ? first : p.feed(kRequest.substr(cut));
    ASSERT_EQ(state, Parser::State::Done) << cut;
    EXPECT_EQ(p.method, "POST");
    EXPECT_EQ(p.target, "/work");
    EXPECT_EQ(p.body, "hello");
  }
}

TEST(Parser, ParsesAChunkedResponseSplitAtEveryByte) {
  for (std::size_t cut = 0; cut < kChunked.size(); ++cut) {
    Parser p(Parser::Mode::Response, 100);
    p.feed(kChunked.substr(0, cut));
    ASSERT_EQ(p.feed(kChunked.substr(cut)), Parser::State::Done) << cut;
    EXPECT_EQ(p.body, "abcde");
    EXPECT_EQ(p.status, 200);
  }
}

TEST(Parser, KeepsBytesAfterARequest) {
  Parser p(Parser::Mode::Request, 100);
  ASSERT_EQ(p.feed(kRequest + "GET /ready HTTP/1.1\r\n\r\n"), Parser::State::Done);
  p.reset();
  ASSERT_EQ(p.feed(""), Parser::State::Done);
  EXPECT_EQ(p.target, "/ready");
}

struct MalformedRequest {
  const char* what;
  std::string bytes;
  int status;
};

TEST(Parser, RejectsMalformedInputWithTheMatchingStatus) {
  const std::vector<MalformedRequest> cases = {
      {"no target", "GET\r\n\r\n", 400},
      {"lower-case method", "get / HTTP/1.1\r\n\r\n", 400},
      {"unknown version", "GET / HTTP/2.0\r\n\r\n", 400},
      {"control byte in target", "GET /a\x01 HTTP/1.1\r\n\r\n", 400},
      {"space in a name", "GET / HTTP/1.1\r\nA b: c\r\n\r\n", 400},
      {"no colon", "GET / HTTP/1.1\r\nabc\r\n\r\n", 400},
      {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
      {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
      {"length and chunks", "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
       400},
      {"length beyond any number", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400},
      {"too large a body", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413},
      {"too large a chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n", 413},
      {"bad chunk size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 400},
      {"unknown coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
      {"endless header", "GET / HTTP/1.1\r\nA: " + std::string(constants::kMaxHeaderBytes + 10, 'a'), 431},
  };
  for (const auto& c : cases) {
    Parser p(Parser::Mode::Request, 100);
    EXPECT_EQ(p.feed(c.bytes), Parser::State::Bad) << c.what;
    EXPECT_EQ(p.error_status(), c.status) << c.what;
  }
}

TEST(ServerAndClient, ServeManyRequestsAndReportARefusedConnection) {
  Loop loop;
  Server* server = nullptr;
  Server actual(loop, "127.0.0.1:0", 8, [&](Server::ConnectionId id, Request r) {
    server->respond(id, {200, r.target + r.body, 0, false});
  });
  server = &actual;
  Client client(loop, "127.0.0.1:" + std::to_string(actual.port()), 2, 100);
  int answered = 0, wanted = 20;
  for (int i = 0; i < wanted; ++i)
    client.request("POST", "/" + std::to_string(i), "x", 5, [&, i](Result r) {
      EXPECT_EQ(r.status, 200);
      EXPECT_EQ(r.body, "/" + std::to_string(i) + "x");
      if (++answered == wanted) loop.stop();
    });
  Timer limit(loop);
  limit.once(20, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(answered, wanted);

  int free_port = 0;
  {
    free_port = Server(loop, "127.0.0.1:0", 8, [](Server::ConnectionId, Request) {}).port();
  }
  Client refused(loop, "127.0.0.1:" + std::to_string(free_port), 1, 1);
  bool completed = false;
  refused.request("POST", "/", "x", 5, [&](Result r) {
    EXPECT_EQ(r.status, 0);
    EXPECT_FALSE(r.sent);
    completed = true;
    loop.stop();
  });
  loop.run();
  EXPECT_TRUE(completed);
}

TEST(ServerAndClient, AnUnansweredRequestFailsAtItsDeadlineAndCountsAsSent) {
  Loop loop;
  Server silent(loop, "127.0.0.1:0", 8, [](Server::ConnectionId, Request) {});
  Client client(loop, "127.0.0.1:" + std::to_string(silent.port()), 1, 4);
  bool completed = false;
  client.request("POST", "/", "x", 0.2, [&](Result r) {
    EXPECT_EQ(r.status, 0);
    EXPECT_TRUE(r.sent);
    completed = true;
    loop.stop();
  });
  Timer limit(loop);
  limit.once(20, [&] { loop.stop(); });
  loop.run();
  EXPECT_TRUE(completed);
}

}  // namespace
}  // namespace corkmux::http
