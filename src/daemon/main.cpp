// The router program: startup, signals and exit codes.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "daemon/host.h"
#include "net/log.h"
#include "net/socket_errors.h"
#include "platform/node_settings.h"
#ifdef STREAMPICK_WITH_OPTIONS
#include <CLI/CLI.hpp>

#include "platform/options.h"
#endif

namespace {

using namespace streampick;
constexpr int kExitBadSettings = 2, kExitFailure = 1;
/// How long the creation of the event loop is retried while file descriptors are exhausted. Sockets are
/// retried later, on the loop.
constexpr std::chrono::seconds kLoopCreationTimeout{20};
constexpr std::chrono::milliseconds kLoopCreationBackoff{50};

/// The event loop, with a handler for SIGHUP.
struct Loop {
  boost::asio::io_context io{1};
  boost::asio::signal_set reloads{io, SIGHUP};
};

/// Retries while file descriptors are exhausted.
std::unique_ptr<Loop> make_loop() {
  const auto give_up_at = std::chrono::steady_clock::now() + kLoopCreationTimeout;
  for (;;) {
    try {
      return std::make_unique<Loop>();
    } catch (const boost::system::system_error& error) {
      if (!net::is_transient(error.code()) || std::chrono::steady_clock::now() >= give_up_at) throw;
      net::log(std::string("event loop: ") + error.what() + "; trying again");
    }
    std::this_thread::sleep_for(kLoopCreationBackoff);
  }
}

// Reloads the configuration at each SIGHUP. When it cannot be read, the error is logged and the router goes
// on with the settings in use.
void reload_on_signal(boost::asio::signal_set& reloads, const char* path, daemon::Host& host) {
  reloads.async_wait([&reloads, path, &host](const boost::system::error_code& error, int) {
    if (error) return;
    host.reload(path);
    reload_on_signal(reloads, path, host);
  });
}

struct Start {
  platform::NodeSettings settings;
  const char* path = nullptr;  // of the platform's configuration
#ifdef STREAMPICK_WITH_OPTIONS
  std::optional<platform::Options> options;
#endif
};

std::unique_ptr<daemon::Host> make_host(boost::asio::io_context& io, net::Clock& clock, const Start& start) {
#ifdef STREAMPICK_WITH_OPTIONS
  if (start.options) return std::make_unique<daemon::Host>(io, clock, start.settings, *start.options);
#endif
  return std::make_unique<daemon::Host>(io, clock, start.settings);
}

void serve(Loop& loop, const Start& start) {
  boost::asio::io_context& io = loop.io;
  net::Clock clock(io);
  const auto owner = make_host(io, clock, start);
  daemon::Host& host = *owner;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  reload_on_signal(loop.reloads, start.path, host);
  bool done = false;
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    net::log("stop signal received, shutting down");
    host.drain([&] { done = true; });
  });
  while (!done) {
    // run_one() alone, without poll(): poll() would make a second system call after each batch, which most
    // often finds no event.
    clock.next_batch();
    io.run_one();
  }
  net::log("stopped: " + host.summary());
}

// Loads the platform's configuration and the operator's options file, and checks each against the other.
Start load(const std::string& options_path) {
  Start out;
  out.path = std::getenv("NODE_CONFIG");
  if (out.path == nullptr || *out.path == '\0') throw std::runtime_error("NODE_CONFIG is not set");
  out.settings = platform::load_settings(out.path);
  platform::apply(platform::Environment::from_process(), out.settings);
#ifdef STREAMPICK_WITH_OPTIONS
  if (!options_path.empty()) {
    out.options = platform::load_options(options_path);
    platform::resolve(*out.options, out.settings);
#ifdef STREAMPICK_WITH_FLEET
    fleet::resolve(out.options->fleet, out.settings, options_path);
    fleet::resolve(out.options->shares, out.options->fleet, out.settings, options_path);
#endif
  }
#else
  (void)options_path;
#endif
  return out;
}

#ifdef STREAMPICK_WITH_OPTIONS
// Prints which features are enabled; throws an error of one line when the options file is invalid. Without a
// platform configuration the options file is checked alone.
void check_configuration(const std::string& options_path) {
  const char* config = std::getenv("NODE_CONFIG");
  platform::Options options;
  if (!options_path.empty()) options = platform::load_options(options_path);
  if (config != nullptr && *config != '\0') {
    platform::NodeSettings settings = platform::load_settings(config);
    if (!options_path.empty()) platform::resolve(options, settings);
#ifdef STREAMPICK_WITH_FLEET
    fleet::resolve(options.fleet, settings, options_path);
    fleet::resolve(options.shares, options.fleet, settings, options_path);
#endif
    std::cout << "configuration: " << config << " is valid\n";
  } else {
    std::cout << "configuration: not checked, NODE_CONFIG is not set\n";
  }
  std::cout << platform::describe(options);
}
#endif

/// Runs a step of the program. Returns 0, or prints the reason in one line and returns `code` when it throws.
template <typename Step>
int run_step(int code, Step step) {
  try {
    step();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "streampick_router: " << error.what() << '\n';
    return code;
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::string options_path;
#ifdef STREAMPICK_WITH_OPTIONS
  bool only_check = false;
  CLI::App app("Routes reads and writes of keys to a fleet of cache servers.", "streampick_router");
  app.add_option("--options", options_path, "the operator's options file (TOML)");
  app.add_flag("--check", only_check, "check the configuration, print which features are enabled, and exit");
  app.set_version_flag("--version", "streampick_router " STREAMPICK_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& success) {
    return app.exit(success);
  } catch (const CLI::ParseError& error) {
    std::cerr << "streampick_router: " << error.what() << '\n';
    return kExitBadSettings;
  }
#else
  // An argument that has no effect must not be accepted silently.
  if (argc > 1) {
    std::cerr << "streampick_router: " << argv[1]
              << ": this build accepts no command-line arguments (built without STREAMPICK_OPTIONS)\n";
    return kExitBadSettings;
  }
#endif
  std::signal(SIGPIPE, SIG_IGN);
  // SIGHUP ends a process by default. The handler is installed before the configuration is read, and a signal
  // that arrives meanwhile stays queued in the signal set: a file that is replaced during the first read is
  // read again.
  std::signal(SIGHUP, SIG_IGN);
#ifdef STREAMPICK_WITH_OPTIONS
  if (only_check) return run_step(kExitBadSettings, [&] { check_configuration(options_path); });
#endif
  std::unique_ptr<Loop> loop;
  Start start;
  if (const int code = run_step(kExitFailure, [&] { loop = make_loop(); }); code != 0) return code;
  if (const int code = run_step(kExitBadSettings, [&] { start = load(options_path); }); code != 0)
    return code;
  return run_step(kExitFailure, [&] { serve(*loop, start); });
}
