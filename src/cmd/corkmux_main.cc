#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "api.h"
#include "cmd_constants.h"
#include "controller.h"

namespace {

/// One line with the messages and bytes of this process so far, by kind, for an operator or the scale run.
void log_traffic() {
  auto kinds = nlohmann::json::object();
  for (const auto& [kind, count] : corkmux::http::Traffic::of_process().counts())
    kinds[kind] = {count.messages, count.bytes_in, count.bytes_out};
  spdlog::info("traffic [messages, bytes in, bytes out]: {}", kinds.dump());
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"corkmux: a controller of the cluster scheduler"};
  std::string config, operator_file;
  bool check = false;
  app.add_option("--config", config, "the platform's settings file (TOML)")->required();
  app.add_option("--operator", operator_file, "the operators' own settings (protobuf text format)");
  app.add_flag("--check", check, "check the settings and exit");
  app.set_version_flag("--version", std::string("corkmux ") + CORKMUX_VERSION);
  CLI11_PARSE(app, argc, argv);

  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>()));
  spdlog::set_pattern("%L %v");
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(spdlog::level::from_str(level ? level : "info"));

  try {
    auto settings = corkmux::load_settings(config);
    auto choices = corkmux::load_operator(operator_file);
    corkmux::check_choices(choices, settings);
    if (choices.kubernetes && !choices.kubernetes->tokens.empty())
      corkmux::kube::Tokens::load(choices.kubernetes->tokens);
    if (check) {
      std::cout << "settings are good\n";
      return 0;
    }
    corkmux::Loop loop;
    if (choices.kubernetes) settings.max_connections -= corkmux::kube::Api::connections(settings);
    corkmux::Controller controller(loop, settings, choices);
    std::optional<corkmux::kube::Api> kubernetes;
    corkmux::Timer kubernetes_later(loop);
    // Guards against an address in the operators' file that cannot be had here: the scheduler itself goes on.
    std::function<void()> open_kubernetes = [&] {
      try {
        kubernetes.emplace(loop, settings, *choices.kubernetes, controller.state(), controller.admission(),
                           controller.status_cache());
      } catch (const std::runtime_error& e) {
        spdlog::error("Kubernetes-style clients are not served: {}; tried again", e.what());
        return kubernetes_later.once(corkmux::constants::kKubeRetry, open_kubernetes);
      }
      spdlog::info("serves Kubernetes-style clients on port {}", kubernetes->port());
      kubernetes->start();
    };
    if (choices.kubernetes) open_kubernetes();
    controller.start();
    int status = 0;
    bool ending = false;
    auto end = [&](int signal) {
      if (ending) {  // asked twice: at once, as after a crash
        status = 128 + signal;
        return loop.stop();
      }
      ending = true;
      kubernetes_later.stop();
      if (kubernetes) kubernetes->close();
      spdlog::info("ending in order: signal {}; a second one ends at once", signal);
      controller.stop([&] {
        spdlog::info("ended in order");
        loop.stop();
      });
    };
    corkmux::SignalWatcher terminate(loop, SIGTERM, [&] { end(SIGTERM); });
    corkmux::SignalWatcher interrupt(loop, SIGINT, [&] { end(SIGINT); });
    corkmux::SignalWatcher traffic_wanted(loop, SIGUSR1, [] { log_traffic(); });
    std::optional<corkmux::SignalWatcher> hangup;
    if (choices.kubernetes)
      hangup.emplace(loop, SIGHUP, [&] {
        auto wrong = kubernetes ? kubernetes->reload_tokens() : "";
        if (wrong.empty()) return spdlog::info("tokens are read again");
        spdlog::error("tokens stay as they were: {}", wrong);
      });
    spdlog::info("{} serves {} in {}", settings.label, settings.listen, settings.zone);
    loop.run();
    return status;
  } catch (const std::exception& e) {
    std::cerr << "corkmux: " << e.what() << "\n";
    return 1;
  }
  return 0;
}
