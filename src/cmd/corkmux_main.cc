// The controller: reads its settings, then serves until a signal ends it.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "api_server.h"
#include "cmd_constants.h"
#include "controller.h"
#include "logging.h"
#include "program.h"

namespace {

using namespace corkmux;

constexpr int kFailed = 1;              // exit status
constexpr int kSignalExitStatus = 128;  // plus the signal's number, as shells have it

struct Arguments {
  std::string settings_file;
  std::string operator_file;
  bool check = false;
};

/// One line with the messages and bytes of this process so far, by kind, for an operator or the scale test.
void log_traffic() {
  auto kinds = nlohmann::json::object();
  for (const auto& [kind, count] : http::Traffic::of_process().counts())
    kinds[kind] = {count.messages, count.bytes_in, count.bytes_out};
  spdlog::info("traffic [messages, bytes in, bytes out]: {}", kinds.dump());
}

/// Throws SettingsError.
OperatorChoices load_choices(const Arguments& arguments, const Settings& settings) {
  auto choices = load_operator(arguments.operator_file);
  check_choices(choices, settings);
  if (choices.kubernetes && !choices.kubernetes->tokens.empty())
    kube::BearerTokens::load(choices.kubernetes->tokens);
  return choices;
}

/// Sockets for Kubernetes-style clients are taken off those for users and workers.
Settings share_connections(Settings settings, const OperatorChoices& choices) {
  if (choices.kubernetes) settings.max_connections -= kube::ApiServer::connections(settings);
  return settings;
}

/// The running program: a controller, the API for Kubernetes-style clients if there is one, and the signals.
class Program {
 public:
  Program(const Settings& settings, const OperatorChoices& choices)
      : settings_(share_connections(settings, choices)),
        choices_(choices),
        controller_(loop_, settings_, choices_),
        kubernetes_retry_(loop_) {}

  /// Returns the exit status.
  int run() {
    if (choices_.kubernetes) open_kubernetes();
    controller_.start();
    watch_signals();
    spdlog::info("{} serves {} in {}", settings_.label, settings_.listen, settings_.zone);
    loop_.run();
    return status_;
  }

 private:
  void open_kubernetes() {
    // Guards against an address in the operators' file that cannot be had here: the scheduler itself goes on.
    try {
      kubernetes_.emplace(loop_, settings_, *choices_.kubernetes, controller_.state(),
                          controller_.admission(), controller_.status_cache());
    } catch (const std::runtime_error& error) {
      spdlog::error("Kubernetes-style clients are not served: {}; tried again", error.what());
      return kubernetes_retry_.once(constants::kKubeRetry, [this] { open_kubernetes(); });
    }
    spdlog::info("serves Kubernetes-style clients on port {}", kubernetes_->port());
    kubernetes_->start();
  }

  void watch_signals() {
    terminate_.emplace(loop_, SIGTERM, [this] { on_end_signal(SIGTERM); });
    interrupt_.emplace(loop_, SIGINT, [this] { on_end_signal(SIGINT); });
    traffic_.emplace(loop_, SIGUSR1, [] { log_traffic(); });
    if (choices_.kubernetes) hangup_.emplace(loop_, SIGHUP, [this] { reload_tokens(); });
  }

  void on_end_signal(int signal) {
    if (ending_) {  // asked twice: at once, as after a crash
      status_ = kSignalExitStatus + signal;
      return loop_.stop();
    }
    ending_ = true;
    kubernetes_retry_.stop();
    if (kubernetes_) kubernetes_->close();
    spdlog::info("ending in order: signal {}; a second one ends at once", signal);
    controller_.stop([this] {
      spdlog::info("ended in order");
      loop_.stop();
    });
  }

  void reload_tokens() {
    auto error = kubernetes_ ? kubernetes_->reload_tokens() : std::nullopt;
    if (!error) return spdlog::info("tokens are read again");
    spdlog::error("tokens stay as they were: {}", error->what());
  }

  Settings settings_;
  OperatorChoices choices_;
  Loop loop_;
  Controller controller_;
  std::optional<kube::ApiServer> kubernetes_;
  Timer kubernetes_retry_;
  int status_ = 0;
  bool ending_ = false;
  std::optional<SignalWatcher> terminate_;
  std::optional<SignalWatcher> interrupt_;
  std::optional<SignalWatcher> traffic_;
  std::optional<SignalWatcher> hangup_;
};

int run(const Arguments& arguments) {
  auto settings = load_settings(arguments.settings_file);
  auto choices = load_choices(arguments, settings);
  if (arguments.check) {
    std::cout << "settings are good\n";
    return 0;
  }
  Program program(settings, choices);
  return program.run();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"corkmux: a controller of the cluster scheduler"};
  Arguments arguments;
  app.add_option("--config", arguments.settings_file, "the platform's settings file (TOML)")->required();
  app.add_option("--operator", arguments.operator_file, "the operators' own settings (protobuf text format)");
  app.add_flag("--check", arguments.check, "check the settings and exit");
  app.set_version_flag("--version", std::string("corkmux ") + CORKMUX_VERSION);
  CLI11_PARSE(app, argc, argv);

  start_logging(std::make_unique<spdlog::pattern_formatter>("%L %v"), spdlog::level::info);
  return run_program("corkmux", kFailed, [&] { return run(arguments); });
}
