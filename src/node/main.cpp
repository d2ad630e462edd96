// The real router: start, signals, exit codes.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "host.h"
#include "log.h"
#include "settings.h"

namespace {

using namespace streampick;
constexpr int kBadSettings = 2, kFailed = 1;

void serve(const node::NodeSettings& settings) {
  boost::asio::io_context io(1);
  node::Clock clock;
  node::Host host(io, clock, settings);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  bool done = false;
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    node::log("told to stop");
    host.drain([&] { done = true; });
  });
  while (!done) {
    clock.next_batch();
    io.run_one();
    for (int more = 0; more < 64 && !done && io.poll_one() > 0; ++more) {
    }
  }
  node::log("stopped: " + host.summary());
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  node::NodeSettings settings;
  try {
    const char* path = std::getenv("NODE_CONFIG");
    if (path == nullptr || *path == '\0') throw std::runtime_error("NODE_CONFIG is not set");
    settings = node::load_settings(path);
  } catch (const std::exception& error) {
    std::cerr << "streampick_router: " << error.what() << '\n';
    return kBadSettings;
  }
  try {
    serve(settings);
  } catch (const std::exception& error) {
    std::cerr << "streampick_router: " << error.what() << '\n';
    return kFailed;
  }
  return 0;
}
