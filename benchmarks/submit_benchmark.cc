// Benchmarks the time from sending a submission to its being stored, native and as a Kubernetes Job, side by
// side in one process: real controllers on loopback with the tests' stand-in state service and cloud. Also
// measures the memory per watcher.
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

constexpr const char* kJobsPath = "/apis/batch/v1/namespaces/default/jobs";
constexpr double kSettleTime = 0.5;  // s from the election to the start of the measurement
constexpr double kMsPerSecond = 1000;
constexpr double kBytesPerKib = 1024;

/// The settings that the platform writes, with rate limits too high to affect the benchmark.
Settings controller_settings(int number, const simulation::Cloud& cloud,
                             const simulation::StateService& state) {
  Settings settings;
  settings.label = "c" + std::to_string(number);
  settings.zone = "a";
  settings.listen = "127.0.0.1:0";
  settings.peer_listen = "127.0.0.1:0";
  settings.cloud = cloud.address();
  settings.state = state.address();
  settings.zones = {"a", "b"};
  settings.teams = {{"x", 1e6, 0, 0, 0}};
  settings.report_s = 0.5;
  settings.lease_s = 8;
  settings.gang_wait_s = 20;
  settings.gang_peer_s = 4;
  settings.cancel_s = 30;
  settings.state_rps = 1000;
  settings.state_write_rps = 500;
  settings.value_kb = 16;
  settings.txn_ops = 12;
  settings.cloud_rps = 10;
  settings.list_lag_s = 1;
  settings.next = {500, 16, 12};
  settings.max_connections = 4000;
  return settings;
}

std::string native_body(int number) {
  return codec::pack({{"ref", "run-n" + std::to_string(number)},
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

std::string kube_body(int number) {
  Json container = {
      {"name", "m"}, {"image", "i"}, {"resources", {{"requests", {{"cpu", "1"}, {"memory", "1G"}}}}}};
  Json pod = {{"restartPolicy", "Never"}, {"containers", {container}}};
  return Json{
      {"apiVersion", "batch/v1"},
      {"kind", "Job"},
      {"metadata", {{"name", "j" + std::to_string(number)}, {"annotations", {{"corkmux.io/image-gb", "1"}}}}},
      {"spec", {{"completions", 4}, {"parallelism", 4}, {"template", {{"spec", pod}}}}}}
      .dump();
}

/// Response times.
class Latencies {
 public:
  void add(double seconds) { ms_.push_back(kMsPerSecond * seconds); }
  /// The time in ms that this share of the times does not exceed; 0 without any times.
  double quantile(double share) {
    if (ms_.empty()) return 0;
    std::sort(ms_.begin(), ms_.end());
    auto index = static_cast<std::size_t>(share * static_cast<double>(ms_.size()));
    return ms_[std::min(ms_.size() - 1, index)];
  }

 private:
  std::vector<double> ms_;
};

/// Controllers that serve native and Kubernetes clients, with one client of each kind per controller.
class BenchmarkCluster {
 public:
  explicit BenchmarkCluster(int controllers) {
    for (int number = 0; number < controllers; ++number) add_controller(number);
  }
  /// Waits until one of the controllers is leader.
  void wait_for_leader() {
    run_until(
        [&] {
          return std::any_of(controllers_.begin(), controllers_.end(),
                             [](const auto& controller) { return controller->leading(); });
        },
        20);
    run_for(kSettleTime);
  }
  /// Sends `count` submissions of each kind, alternating, at this rate, to the controllers in turn; prints
  /// the latencies.
  void compare(int count, double per_second) {
    Latencies native;
    Latencies translated;
    int failed = 0;
    int answered = 0;
    int sent = 0;
    Timer timer(loop_);
    timer.every(1 / per_second, [&] {
      if (sent >= 2 * count) return;
      bool is_native = sent % 2 == 0;
      auto controller = static_cast<std::size_t>(sent / 2) % controllers_.size();
      auto done = [&, is_native, sent_at = steady_now()](const http::Result& result) {
        ++answered;
        if (result.status != 201) ++failed;
        (is_native ? native : translated).add(steady_now() - sent_at);
      };
      if (is_native)
        native_clients_[controller]->request("POST", "/work", native_body(sent), 10, done);
      else
        kube_clients_[controller]->request("POST", kJobsPath, kube_body(sent), 10, done);
      ++sent;
    });
    run_until([&] { return answered == 2 * count; }, 120);
    std::printf(
        "%zu controllers, %4.0f/s: native p50 %.2f ms p99 %.2f ms, translated p50 %.2f ms p99 %.2f ms, %d of "
        "%d failed\n",
        controllers_.size(), per_second, native.quantile(0.5), native.quantile(0.99),
        translated.quantile(0.5), translated.quantile(0.99), failed, 2 * count);
  }
  /// Prints the memory per connection that watches one job.
  void measure_watchers(int count) {
    auto used_bytes = [] { return static_cast<double>(mallinfo2().uordblks); };
    std::vector<std::unique_ptr<http::Client>> watchers;
    double before = used_bytes();
    for (int i = 0; i < count; ++i) {
      watchers.push_back(
          std::make_unique<http::Client>(loop_, "127.0.0.1:" + std::to_string(apis_.front()->port()), 1, 2));
      watchers.back()->request("GET", std::string(kJobsPath) + "?watch=true&fieldSelector=metadata.name%3Dj1",
                               "", 600, [](const http::Result&) {});
    }
    run_for(4);
    std::printf("%d watchers: %.1f KiB each, both ends of the connection together\n", count,
                (used_bytes() - before) / kBytesPerKib / count);
  }

 private:
  void add_controller(int number) {
    auto settings = controller_settings(number, cloud_, state_);
    controllers_.push_back(std::make_unique<Controller>(loop_, settings, load_operator("")));
    auto& controller = *controllers_.back();
    apis_.push_back(std::make_unique<kube::ApiServer>(
        loop_, settings, KubernetesChoices{"127.0.0.1:0", {{"default", "x"}}, ""}, controller.state(),
        controller.admission(), controller.status_cache()));
    controller.start();
    apis_.back()->start();
    native_clients_.push_back(client_of(controller.port()));
    kube_clients_.push_back(client_of(apis_.back()->port()));
  }
  std::unique_ptr<http::Client> client_of(int port) {
    return std::make_unique<http::Client>(loop_, "127.0.0.1:" + std::to_string(port), 8, 1000);
  }
  /// Runs the loop until the condition holds, but no longer than `at_most_s`.
  template <typename Condition>
  void run_until(Condition met, double at_most_s) {
    Timer tick(loop_);
    tick.every(0.02, [] {});
    double end = steady_now() + at_most_s;
    while (!met() && steady_now() < end) loop_.run_once();
  }
  void run_for(double seconds) {
    run_until([] { return false; }, seconds);
  }

  Loop loop_;
  simulation::StateService state_{loop_};
  simulation::Cloud cloud_{loop_};
  std::vector<std::unique_ptr<Controller>> controllers_;
  std::vector<std::unique_ptr<kube::ApiServer>> apis_;
  std::vector<std::unique_ptr<http::Client>> native_clients_;
  std::vector<std::unique_ptr<http::Client>> kube_clients_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"times of submissions, native and translated"};
  int count = 400;
  int watchers = 500;
  app.add_option("--count", count, "submissions of each kind per line");
  app.add_option("--watchers", watchers, "connections that watch");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::off);
  for (int controllers : {1, 3, 5})
    for (double per_second : {50.0, 200.0, 500.0}) {
      BenchmarkCluster cluster(controllers);
      cluster.wait_for_leader();
      cluster.compare(count, per_second);
    }
  BenchmarkCluster cluster(1);
  cluster.wait_for_leader();
  cluster.compare(5, 50);
  cluster.measure_watchers(watchers);
}
