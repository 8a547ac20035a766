// Fixture with whole controllers on loopback, in real time, and the simulated state store, cloud and workers
// of `src/simulation/`.
#pragma once
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "cloud.h"
#include "controller.h"
#include "loop_test.h"
#include "state_service.h"
#include "worker.h"

namespace corkmux {

using codec::Json;

/// Counts how often each task started.
struct TaskStartCounter : simulation::MachineObserver {
  std::map<std::string, int> counts;
  void task_placed(const simulation::MachineFacts&, const simulation::SimulatedJob& work, int index,
                   std::uint64_t) override {
    ++counts[work.spec.id + "/" + std::to_string(index)];
  }
};

class LoopbackCluster : public LoopTest {
 protected:
  LoopbackCluster() : LoopTest(40) {}
  void SetUp() override { spdlog::set_level(spdlog::level::off); }

  void start_controller(const std::string& label) {
    auto& controller = controllers[label];
    controller = std::make_unique<Controller>(loop, settings_of(label), load_operator(""));
    controller->start();
    ports[label] = controller->port();
    clients[label] =
        std::make_unique<http::Client>(loop, "127.0.0.1:" + std::to_string(controller->port()), 4, 100);
  }
  Settings settings_of(const std::string& label) {
    Settings settings;
    settings.label = label;
    settings.zone = "a";
    settings.listen = "127.0.0.1:0";
    settings.peer_listen = "127.0.0.1:0";
    settings.cloud = cloud.address();
    settings.state = state.address();
    settings.zones = {"a", "b"};
    settings.teams = {{"x", 16, 64, 0, 0}};
    settings.report_s = 0.5;
    settings.lease_s = 8;
    settings.gang_wait_s = 20;
    settings.gang_peer_s = 4;
    settings.cancel_s = cancel_s;
    settings.state_rps = 1000;
    settings.state_write_rps = 500;
    settings.value_kb = 16;
    settings.txn_ops = 12;
    settings.cloud_rps = 10;
    settings.list_lag_s = 1;
    settings.next = limits;
    settings.peers = others;
    return settings;
  }
  void stop_controller(const std::string& label) {
    clients.erase(label);
    controllers.erase(label);
  }
  void add_worker(const std::string& name, const std::string& zone, double run_s) {
    registry.make_unknown_job = [run_s](const std::string& id) {
      simulation::SimulatedJob work;
      work.spec.id = id;
      work.spec.tasks = 1000;
      work.spec.need = {4, 0, 4};
      work.run_s = {run_s};
      return work;
    };
    std::map<std::string, std::string> all;
    for (const auto& [label, port] : ports) all[label] = "127.0.0.1:" + std::to_string(port);
    simulation::MachineFacts facts{name, {"g8", {16, 0, 64}, 50, 1, 1, 0.5, 1, {"a", "b"}}, zone, false};
    workers.push_back(std::make_unique<simulation::Worker>(
        loop, facts, simulation::WorkerTimes{0.5, 8, 20, 4}, all, registry, "127.0.0.1:0"));
  }
  http::Result call(const std::string& label, const char* method, const std::string& path,
                    const std::string& body) {
    http::Result result;
    bool answered = false;
    clients.at(label)->request(method, path, body, 5, [&](http::Result reply) {
      result = std::move(reply);
      answered = true;
    });
    wait_for([&] { return answered; });
    return result;
  }
  static Json job(const std::string& id, int parts = 1, const char* shape = "batch") {
    return {{"ref", id},        {"troupe", "t"},     {"crew", "x"},    {"shape", shape},
            {"rank", "normal"}, {"parts", parts},    {"vcpus", 4.0},   {"accelerators", 0.0},
            {"memGb", 4.0},     {"bundle", "i"},     {"imageGb", 1.0}, {"together", false},
            {"spread", false},  {"lendable", false}, {"guessS", 1.0},  {"bookmarkS", 0.0},
            {"stashS", 0.0}};
  }
  int submit(const std::string& label, const Json& body) {
    int status = 0;
    wait_for([&] { return (status = call(label, "POST", "/work", codec::pack(body)).status) != 503; });
    return status;
  }
  std::string phase(const std::string& label, const std::string& id) {
    auto reply = call(label, "GET", "/work/" + id, "");
    auto body = codec::unpack(reply.body);
    return reply.status == 200 && body ? body->value("phase", "") : std::to_string(reply.status);
  }
  /// Stores a cancel as a controller does that answered the user and stopped before it could notify another.
  /// Returns the time, s of the steady clock.
  double store_cancel(const std::string& id) {
    auto record = state.values().at("a/" + id);
    record["c"] = 1;
    state.put("a/" + id, record);
    state.put("f/" + id, {{"p", "cancelled"}, {"n", 0}, {"t", wall_now()}});
    return steady_now();
  }
  std::string leader() const {
    for (const auto& [label, controller] : controllers)
      if (controller->leading()) return label;
    return "";
  }

  double cancel_s = 30;
  StateLimits limits{500, 16, 12};
  std::vector<PeerAddress> others;
  simulation::StateService state{loop};
  simulation::Cloud cloud{loop};
  TaskStartCounter observer;
  std::map<std::string, int>& starts = observer.counts;
  simulation::JobRegistry registry{loop, 4, observer};
  std::map<std::string, std::unique_ptr<Controller>> controllers;
  std::map<std::string, std::unique_ptr<http::Client>> clients;
  std::map<std::string, int> ports;
  std::vector<std::unique_ptr<simulation::Worker>> workers;
};

}  // namespace corkmux
