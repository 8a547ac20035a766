// Test fixture: controllers on loopback that serve the Kubernetes API, and clients that send raw HTTP
// requests.
#pragma once
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "api_server.h"
#include "kubernetes_objects.h"
#include "loopback_cluster.h"
#include "store_keys.h"

namespace corkmux {

inline constexpr const char* kDefaultJobs = "/apis/batch/v1/namespaces/default/jobs";

/// The optional parts of a RawRequest.
struct RawRequestOptions {
  std::string secret = {};  // of the Authorization header; empty: no such header is sent
  std::string body = {};    // YAML unless it begins with a brace
  int receive_buffer = 0;   // bytes; 0: the system's default
};

/// One request on a connection of its own. The response is parsed while it arrives.
class RawRequest {
 public:
  RawRequest(Loop& loop, int port, const std::string& method, const std::string& target,
             const RawRequestOptions& options = {})
      : fd_(::socket(AF_INET, SOCK_STREAM, 0)),
        parser_(http::Parser::Mode::Response, kMaxAnswerBytes),
        io_(loop, fd_.get(), [this](int) { receive(); }) {
    if (options.receive_buffer)
      ::setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof options.receive_buffer);
    connect_to(port);
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: x\r\n";
    if (!options.secret.empty()) text += "Authorization: Bearer " + options.secret + "\r\n";
    if (!options.body.empty() && options.body[0] != '{') text += "Content-Type: application/yaml\r\n";
    text += "Content-Length: " + std::to_string(options.body.size()) + "\r\n\r\n" + options.body;
    EXPECT_EQ(::send(fd_.get(), text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    io_.set_events(EV_READ);
  }
  /// The status of the response; 0 until the response is complete.
  int status() const { return finished_ ? parser_.status : 0; }
  /// Returns whether the response is complete or the connection is closed.
  bool finished() const { return finished_; }
  bool started() const { return !parser_.idle(); }
  /// The part of the response's body that was received so far.
  const std::string& body() const { return parser_.body; }
  void pause() { io_.set_events(0); }
  void resume() { io_.set_events(EV_READ); }

 private:
  static constexpr std::size_t kMaxAnswerBytes = 1 << 24;

  void connect_to(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd_.get(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  }
  void receive() {
    char bytes[65536];
    auto count = ::recv(fd_.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    finished_ =
        count <= 0 || parser_.feed({bytes, static_cast<std::size_t>(count)}) != http::Parser::State::NeedMore;
    if (finished_) io_.set_events(0);
  }
  http::Fd fd_;
  http::Parser parser_;
  IoWatcher io_;
  bool finished_ = false;
};

/// A watch request. Its events are the lines of a chunked response.
class WatchClient : public RawRequest {
 public:
  WatchClient(Loop& loop, int port, const std::string& query, int receive_buffer = 0)
      : RawRequest(loop, port, "GET", kDefaultJobs + ("?watch=true" + query), {"", "", receive_buffer}) {}
  /// Returns "TYPE name" for each event except bookmarks; for errors, the reason in place of the name.
  std::vector<std::string> events() const {
    std::vector<std::string> texts;
    std::istringstream lines(body());
    for (std::string line; std::getline(lines, line);) {
      Json event = Json::parse(line, nullptr, false);
      if (event.is_discarded() || event["type"] == "BOOKMARK") continue;
      const auto type = event["type"].get<std::string>();
      const Json& object = event["object"];
      texts.push_back(type + " " +
                      (type == "ERROR" ? object.value("reason", "") : object["metadata"].value("name", "")));
    }
    return texts;
  }
  /// Returns the resource version of the last event.
  std::string revision() const {
    const std::string field = "\"resourceVersion\":\"";
    auto last = body().rfind(field);
    if (last == std::string::npos) return "";
    auto begin = last + field.size();
    return body().substr(begin, body().find('"', begin) - begin);
  }
  std::size_t lines() const {
    return static_cast<std::size_t>(std::count(body().begin(), body().end(), '\n'));
  }
};

/// Controllers on loopback, each with a Kubernetes API server and an HTTP client of it, by label.
class KubernetesApi : public LoopbackCluster {
 protected:
  void TearDown() override {
    users.clear();
    api_servers.clear();
  }
  void serve(const std::string& label, const std::string& tokens = "") {
    Settings settings;
    KubernetesChoices choices{"127.0.0.1:0", {{"default", "x"}, {"second", "x"}}, tokens};
    auto& controller = *controllers.at(label);
    api_servers[label] = std::make_unique<kube::ApiServer>(loop, settings, choices, controller.state(),
                                                           controller.admission(), controller.status_cache());
    api_servers[label]->start();
    users[label] = std::make_unique<http::Client>(
        loop, "127.0.0.1:" + std::to_string(api_servers[label]->port()), 8, 100);
  }
  int port(const std::string& label) const { return api_servers.at(label)->port(); }
  static std::string body(const std::string& name, int tasks = 1) {
    JobSpec spec;
    spec.job_class = "k";
    spec.image = "i";
    spec.image_gb = 1;
    spec.tasks = tasks;
    spec.need = {4, 0, 4};
    Json submission = kubernetes_job(spec);
    submission["metadata"]["name"] = name;
    return submission.dump();
  }
  void send(const std::string& label, const char* method, const std::string& path, const std::string& text,
            std::function<void(http::Result)> then) {
    users.at(label)->request(method, kDefaultJobs + path, text, 10, std::move(then));
  }
  struct Answer {
    int code = 0;  // 0: no response arrived
    Json body = {};
  };
  Answer send_and_wait(const std::string& label, const char* method, const std::string& path,
                       const std::string& text = "") {
    std::optional<http::Result> result;
    send(label, method, path, text, [&](http::Result reply) { result = std::move(reply); });
    wait_for([&] { return result.has_value(); });
    if (!result) return {};
    return {result->status, Json::parse(result->body, nullptr, false)};
  }
  void wait_until_ready(const std::string& label) {
    ASSERT_TRUE(
        wait_for([&] { return send_and_wait(label, "POST", "?dryRun=All", body("probe")).code == 201; }));
  }
  /// Returns the number of records in the state store under the prefix.
  std::size_t count_records(const std::string& prefix) {
    const auto values = state.values();
    return static_cast<std::size_t>(std::count_if(values.begin(), values.end(), [&](const auto& record) {
      return record.first.rfind(prefix, 0) == 0;
    }));
  }
  std::map<std::string, std::unique_ptr<kube::ApiServer>> api_servers;
  std::map<std::string, std::unique_ptr<http::Client>> users;
};

}  // namespace corkmux
