// The real router: start, signals, exit codes.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "daemon/host.h"
#include "daemon/node_settings.h"
#include "net/log.h"

namespace {

using namespace streampick;
constexpr int kBadSettings = 2, kFailed = 1;

// Takes the configuration anew at each SIGHUP. One that can't be read must not end what serves: it is
// logged and the settings in use stay.
void reload_on(boost::asio::signal_set& reloads, const char* path, node::Host& host) {
  reloads.async_wait([&reloads, path, &host](const boost::system::error_code& error, int) {
    if (error) return;
    try {
      host.reload(node::load_settings(path));
    } catch (const std::exception& wrong) {
      node::log(std::string("reload: the old settings stay: ") + wrong.what());
    }
    reload_on(reloads, path, host);
  });
}

void serve(boost::asio::io_context& io, boost::asio::signal_set& reloads, const char* path,
           const node::NodeSettings& settings) {
  node::Clock clock(io);
  node::Host host(io, clock, settings);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  reload_on(reloads, path, host);
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
  // SIGHUP would end the process: it is caught before the configuration is read, and one that comes
  // meanwhile waits in the set, so that a file replaced just then is read all the same.
  boost::asio::io_context io(1);
  boost::asio::signal_set reloads(io, SIGHUP);
  node::NodeSettings settings;
  const char* path = std::getenv("NODE_CONFIG");
  try {
    if (path == nullptr || *path == '\0') throw std::runtime_error("NODE_CONFIG is not set");
    settings = node::load_settings(path);
  } catch (const std::exception& error) {
    std::cerr << "streampick_router: " << error.what() << '\n';
    return kBadSettings;
  }
  try {
    serve(io, reloads, path, settings);
  } catch (const std::exception& error) {
    std::cerr << "streampick_router: " << error.what() << '\n';
    return kFailed;
  }
  return 0;
}
