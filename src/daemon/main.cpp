// The real router: start, signals, exit codes.
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
constexpr int kBadSettings = 2, kFailed = 1;
/// The event loop's own descriptors are tried for so long. Sockets are tried again on the loop.
constexpr std::chrono::seconds kLoopWithin{20};
constexpr std::chrono::milliseconds kLoopBackoff{50};

/// The event loop, with SIGHUP caught on it.
struct Loop {
  boost::asio::io_context io{1};
  boost::asio::signal_set reloads{io, SIGHUP};
};

/// Tries again where descriptors are short for the moment.
std::unique_ptr<Loop> make_loop() {
  const auto give_up_at = std::chrono::steady_clock::now() + kLoopWithin;
  for (;;) {
    try {
      return std::make_unique<Loop>();
    } catch (const boost::system::system_error& error) {
      if (!net::is_transient(error.code()) || std::chrono::steady_clock::now() >= give_up_at) throw;
      net::log(std::string("event loop: ") + error.what() + "; trying again");
    }
    std::this_thread::sleep_for(kLoopBackoff);
  }
}

// Takes the configuration anew at each SIGHUP. One that can't be read must not end what serves: it is
// logged and the settings in use stay.
void reload_on(boost::asio::signal_set& reloads, const char* path, daemon::Host& host) {
  reloads.async_wait([&reloads, path, &host](const boost::system::error_code& error, int) {
    if (error) return;
    host.reload(path);
    reload_on(reloads, path, host);
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
  const auto made = make_host(io, clock, start);
  daemon::Host& host = *made;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  reload_on(loop.reloads, start.path, host);
  bool done = false;
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    net::log("told to stop");
    host.drain([&] { done = true; });
  });
  while (!done) {
    // Not run_one and then poll: that would ask the kernel once more after each batch, most often for
    // nothing.
    clock.next_batch();
    io.run_one();
  }
  net::log("stopped: " + host.summary());
}

// The platform's configuration and the operator's options, checked against each other.
Start load(const std::string& options_path) {
  Start out;
  out.path = std::getenv("NODE_CONFIG");
  if (out.path == nullptr || *out.path == '\0') throw std::runtime_error("NODE_CONFIG is not set");
  out.settings = platform::load_settings(out.path);
  platform::apply(platform::Environment::of_process(), out.settings);
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
// Says what is on, or in one line what is wrong. Without a configuration of the platform's only the file
// itself is looked at.
void check(const std::string& options_path) {
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
    std::cout << "configuration: " << config << " can be used\n";
  } else {
    std::cout << "configuration: not looked at, NODE_CONFIG is not set\n";
  }
  std::cout << platform::describe(options);
}
#endif

/// Runs a step of the program. Returns 0, or `code` when it fails, with the reason in one line.
template <typename Step>
int guarded(int code, Step step) {
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
  CLI::App app("A router for key reads and saves over a fleet of cache servers.", "streampick_router");
  app.add_option("--options", options_path, "the operator's options file (TOML)");
  app.add_flag("--check", only_check, "say what is on, or what is wrong, and end");
  app.set_version_flag("--version", "streampick_router " STREAMPICK_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& asked) {
    return app.exit(asked);
  } catch (const CLI::ParseError& error) {
    std::cerr << "streampick_router: " << error.what() << '\n';
    return kBadSettings;
  }
#else
  // What can't be heeded must not look as if it were.
  if (argc > 1) {
    std::cerr << "streampick_router: " << argv[1] << ": this build takes no options (STREAMPICK_OPTIONS)\n";
    return kBadSettings;
  }
#endif
  std::signal(SIGPIPE, SIG_IGN);
  // SIGHUP would end the process: it is caught before the configuration is read, and one that comes
  // meanwhile waits in the set, so that a file replaced just then is read all the same.
  std::signal(SIGHUP, SIG_IGN);
#ifdef STREAMPICK_WITH_OPTIONS
  if (only_check) return guarded(kBadSettings, [&] { check(options_path); });
#endif
  std::unique_ptr<Loop> loop;
  Start start;
  if (const int code = guarded(kFailed, [&] { loop = make_loop(); }); code != 0) return code;
  if (const int code = guarded(kBadSettings, [&] { start = load(options_path); }); code != 0) return code;
  return guarded(kFailed, [&] { serve(*loop, start); });
}
