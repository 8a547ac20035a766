// From sending a submission to its being stored, native and as a Kubernetes Job, side by side in one process:
// real controllers on loopback against the stand-ins of the tests. And what a watcher takes.
#include <malloc.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

#include "api_server.h"
#include "cloud.h"
#include "controller.h"
#include "state_service.h"

namespace {

using namespace corkmux;
using codec::Json;

struct Site {
  Loop loop;
  simulation::StateService state{loop};
  simulation::Cloud cloud{loop};
  std::vector<std::unique_ptr<Controller>> controllers;
  std::vector<std::unique_ptr<kube::ApiServer>> apis;
  std::vector<std::unique_ptr<http::Client>> native, translated;

  explicit Site(int n) {
    for (int i = 0; i < n; ++i) {
      Settings s;
      s.label = "c" + std::to_string(i), s.zone = "a", s.listen = s.peer_listen = "127.0.0.1:0";
      s.cloud = cloud.address(), s.state = state.address(), s.zones = {"a", "b"};
      s.teams = {{"x", 1e6, 0, 0, 0}};
      s.report_s = 0.5, s.lease_s = 8, s.gang_wait_s = 20, s.gang_peer_s = 4, s.cancel_s = 30;
      s.state_rps = 1000, s.state_write_rps = 500, s.value_kb = 16, s.txn_ops = 12, s.cloud_rps = 10,
      s.list_lag_s = 1, s.next = {500, 16, 12}, s.max_connections = 4000;
      controllers.push_back(std::make_unique<Controller>(loop, s, load_operator("")));
      auto& c = *controllers.back();
      apis.push_back(std::make_unique<kube::ApiServer>(loop, s,
                                                       KubernetesChoices{"127.0.0.1:0", {{"default", "x"}}},
                                                       c.state(), c.admission(), c.status_cache()));
      c.start(), apis.back()->start();
      auto to = [&](int port) {
        return std::make_unique<http::Client>(loop, "127.0.0.1:" + std::to_string(port), 8, 1000);
      };
      native.push_back(to(c.port())), translated.push_back(to(apis.back()->port()));
    }
  }
  template <typename Condition>
  bool until(Condition met, double at_most) {
    Timer tick(loop);
    tick.every(0.02, [] {});
    double end = steady_now() + at_most;
    while (!met() && steady_now() < end) loop.run_once();
    return met();
  }
  static std::string native_body(int i) {
    return codec::pack({{"ref", "run-n" + std::to_string(i)},
                        {"troupe", "t"},
                        {"crew", "x"},
                        {"shape", "batch"},
                        {"rank", "normal"},
                        {"parts", 4},
                        {"vcpus", 1.0},
                        {"accelerators", 0.0},
                        {"memGb", 1.0},
                        {"bundle", "i"},
                        {"imageGb", 1.0},
                        {"together", false},
                        {"spread", false},
                        {"lendable", false},
                        {"guessS", 1.0},
                        {"bookmarkS", 0.0},
                        {"stashS", 0.0}});
  }
  static std::string kube_body(int i) {
    Json container = {
        {"name", "m"}, {"image", "i"}, {"resources", {{"requests", {{"cpu", "1"}, {"memory", "1G"}}}}}};
    Json pod = {{"restartPolicy", "Never"}, {"containers", {container}}};
    return Json{
        {"apiVersion", "batch/v1"},
        {"kind", "Job"},
        {"metadata", {{"name", "j" + std::to_string(i)}, {"annotations", {{"corkmux.io/image-gb", "1"}}}}},
        {"spec", {{"completions", 4}, {"parallelism", 4}, {"template", {{"spec", pod}}}}}}
        .dump();
  }
  /// One submission of each kind in turn, at this rate, to all controllers in turn.
  void compare(int count, double per_second) {
    std::vector<double> took[2];
    int failed = 0, answered = 0, sent = 0;
    Timer timer(loop);
    timer.every(1 / per_second, [&] {
      if (sent >= 2 * count) return;
      int kind = sent % 2;
      auto which = static_cast<std::size_t>(sent / 2) % controllers.size();
      double at = steady_now();
      auto done = [&, kind, at](http::Result r) {
        ++answered;
        if (r.status != 201) ++failed;
        took[kind].push_back(1000 * (steady_now() - at));
      };
      if (kind == 0)
        native[which]->request("POST", "/work", native_body(sent), 10, done);
      else
        translated[which]->request("POST", "/apis/batch/v1/namespaces/default/jobs", kube_body(sent), 10,
                                   done);
      ++sent;
    });
    until([&] { return answered == 2 * count; }, 120);
    for (auto& t : took) std::sort(t.begin(), t.end());
    auto at = [](const std::vector<double>& t, double share) {
      return t.empty()
                 ? 0
                 : t[std::min(t.size() - 1, static_cast<std::size_t>(share * static_cast<double>(t.size())))];
    };
    std::printf(
        "%zu controllers, %4.0f/s: native p50 %.2f ms p99 %.2f ms, translated p50 %.2f ms p99 %.2f ms, %d of "
        "%d failed\n",
        controllers.size(), per_second, at(took[0], 0.5), at(took[0], 0.99), at(took[1], 0.5),
        at(took[1], 0.99), failed, 2 * count);
  }
  void watchers(int n) {
    auto used = [] { return static_cast<double>(mallinfo2().uordblks); };
    std::vector<std::unique_ptr<http::Client>> all;
    double before = used();
    for (int i = 0; i < n; ++i) {
      all.push_back(
          std::make_unique<http::Client>(loop, "127.0.0.1:" + std::to_string(apis[0]->port()), 1, 2));
      all.back()->request(
          "GET", "/apis/batch/v1/namespaces/default/jobs?watch=true&fieldSelector=metadata.name%3Dj1", "",
          600, [](http::Result) {});
    }
    until([] { return false; }, 4);
    std::printf("%d watchers: %.1f KiB each, both ends of the connection together\n", n,
                (used() - before) / 1024 / n);
  }
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"times of submissions, native and translated"};
  int count = 400, watchers = 500;
  app.add_option("--count", count, "submissions of each kind per line");
  app.add_option("--watchers", watchers, "connections that watch");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::off);
  for (int n : {1, 3, 5})
    for (double rate : {50.0, 200.0, 500.0}) {
      Site site(n);
      site.until(
          [&] {
            return std::any_of(site.controllers.begin(), site.controllers.end(),
                               [](const auto& c) { return c->leading(); });
          },
          20);
      site.until([] { return false; }, 0.5);
      site.compare(count, rate);
    }
  Site site(1);
  site.until([&] { return site.controllers[0]->leading(); }, 20);
  site.until([] { return false; }, 0.5);
  site.compare(5, 50);
  site.watchers(watchers);
}
