// The controller program: reads its settings, then serves requests until a signal ends it.
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
constexpr int kSignalExitStatus = 128;  // plus the signal's number, as in shells

struct Arguments {
  std::string settings_file;
  std::string operator_file;
  bool check = false;
};

/// Logs one line with the messages and bytes of this process so far, by kind, for operators and the scale
/// test.
void log_traffic() {
  auto kinds = nlohmann::json::object();
  for (const auto& [kind, count] : http::Traffic::of_process().counts())
    kinds[kind] = {count.messages, count.bytes_in, count.bytes_out};
  spdlog::info("traffic [messages, bytes in, bytes out]: {}", kinds.dump());
}

/// Loads and checks the operators' settings and the token file they name. Throws SettingsError.
OperatorChoices load_choices(const Arguments& arguments, const Settings& settings) {
  auto choices = load_operator(arguments.operator_file);
  check_choices(choices, settings);
  if (choices.kubernetes && !choices.kubernetes->tokens.empty())
    kube::BearerTokens::load(choices.kubernetes->tokens);
  return choices;
}

/// Subtracts the connections of Kubernetes-style clients from the limit for users and workers.
Settings reserve_kubernetes_connections(Settings settings, const OperatorChoices& choices) {
  if (choices.kubernetes) settings.max_connections -= kube::ApiServer::connections(settings);
  return settings;
}

/// The running program: a controller, the Kubernetes-style API if it is configured, and the signal handlers.
class Program {
 public:
  Program(const Settings& settings, const OperatorChoices& choices)
      : settings_(reserve_kubernetes_connections(settings, choices)),
        choices_(choices),
        controller_(loop_, settings_, choices_),
        kubernetes_retry_(loop_) {}

  /// Returns the exit status.
  int run() {
    if (choices_.kubernetes) open_kubernetes();
    controller_.start();
    watch_signals();
    loop_.on_exception([this](const std::exception& error) { on_exception(error); });
    spdlog::info("{} listening on {} in zone {}", settings_.label, settings_.listen, settings_.zone);
    loop_.run();
    return status_;
  }

 private:
  /// Goes on after an exception that no module has handled. The term ends, since the leader's state may be
  /// incomplete: it is loaded anew by whoever leads next.
  void on_exception(const std::exception& error) {
    spdlog::error("unexpected error in a handler, the process goes on: {}", error.what());
    controller_.handler_failed();
  }

  void open_kubernetes() {
    // An address in the operators' file that cannot be bound on this host must not stop the scheduler.
    try {
      kubernetes_.emplace(loop_, settings_, *choices_.kubernetes, controller_.state(),
                          controller_.admission(), controller_.status_cache());
    } catch (const std::runtime_error& error) {
      spdlog::error("Kubernetes-style clients are not served: {}; retrying", error.what());
      return kubernetes_retry_.once(constants::kKubeRetry, [this] { open_kubernetes(); });
    }
    spdlog::info("serving Kubernetes-style clients on port {}", kubernetes_->port());
    kubernetes_->start();
  }

  void watch_signals() {
    terminate_.emplace(loop_, SIGTERM, [this] { on_stop_signal(SIGTERM); });
    interrupt_.emplace(loop_, SIGINT, [this] { on_stop_signal(SIGINT); });
    traffic_.emplace(loop_, SIGUSR1, [] { log_traffic(); });
    if (choices_.kubernetes) hangup_.emplace(loop_, SIGHUP, [this] { reload_tokens(); });
  }

  void on_stop_signal(int signal) {
    if (stopping_) {  // a second signal exits at once, without a graceful shutdown
      status_ = kSignalExitStatus + signal;
      return loop_.stop();
    }
    stopping_ = true;
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
    if (!error) return spdlog::info("tokens reloaded");
    spdlog::error("tokens not reloaded, the previous tokens stay in use: {}", error->what());
  }

  Settings settings_;
  OperatorChoices choices_;
  Loop loop_;
  Controller controller_;
  std::optional<kube::ApiServer> kubernetes_;
  Timer kubernetes_retry_;
  int status_ = 0;
  bool stopping_ = false;
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
  app.add_option("--operator", arguments.operator_file, "the operators' settings (protobuf text format)");
  app.add_flag("--check", arguments.check, "check the settings and exit");
  app.set_version_flag("--version", std::string("corkmux ") + CORKMUX_VERSION);
  CLI11_PARSE(app, argc, argv);

  start_logging(std::make_unique<spdlog::pattern_formatter>("%L %v"), spdlog::level::info);
  return run_program("corkmux", kFailed, [&] { return run(arguments); });
}
