// streampick_fleet: compares the views of a fleet's routers, checks whether they agree, and runs testbed
// scripts of router processes with network faults between them.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "options/table.h"
#include "testbed/bed.h"
#include "testbed/views.h"

namespace {

using namespace streampick;
using namespace std::chrono_literals;
constexpr int kUsageOrFatalError = 2;

std::vector<std::pair<std::string, std::optional<testbed::View>>> ask_all(
    const std::vector<std::string>& addresses) {
  std::vector<std::pair<std::string, std::optional<testbed::View>>> out;
  for (const std::string& address : addresses) out.emplace_back(address, testbed::ask_view(address, 1s));
  return out;
}

int watch(const std::vector<std::string>& addresses, bool once) {
  for (;;) {
    const std::string text = testbed::side_by_side(ask_all(addresses));
    std::cout << (once ? "" : "\033[H\033[2J") << text << std::flush;
    if (once) return 0;
    std::this_thread::sleep_for(1s);
  }
}

int agree(const std::vector<std::string>& addresses, double within_s) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(within_s);
  for (;;) {
    std::vector<testbed::View> views;
    std::vector<std::string> apart;
    for (const auto& [address, view] : ask_all(addresses)) {
      if (view)
        views.push_back(*view);
      else
        apart.push_back(address + " does not answer");
    }
    if (views.empty()) apart.push_back("no router answers");
    for (std::string& line : testbed::differences(views)) apart.push_back(std::move(line));
    if (apart.empty()) {
      std::cout << views.size() << " routers hold the same view\n";
      return 0;
    }
    if (std::chrono::steady_clock::now() >= end) {
      for (const std::string& line : apart) std::cout << line << '\n';
      return 1;
    }
    std::this_thread::sleep_for(200ms);
  }
}

// Routers answer one after another while shares move between them, so that a sum can exceed the total by
// chance. It counts as exceeded only if it is so in two rounds.
int shares(const std::vector<std::string>& addresses) {
  bool over = false;
  for (int look = 0; look < 2; ++look) {
    std::vector<std::pair<std::string, std::optional<std::vector<testbed::SharedPart>>>> parts;
    for (const std::string& address : addresses) parts.emplace_back(address, testbed::ask_parts(address, 1s));
    const std::string text = testbed::parts_side_by_side(parts, over);
    if (!over || look == 1) std::cout << text;
    if (!over) break;
    std::this_thread::sleep_for(200ms);
  }
  return over ? 1 : 0;
}

int run(const std::string& file, const testbed::BedSettings& settings, const std::string& views, int plays) {
  const testbed::Script script = testbed::load_script(file);
  int failed = 0;
  for (int play = 1; play <= plays; ++play) {
    if (plays > 1) std::cout << "run " << play << '\n';
    const testbed::Played played = testbed::play(script, settings, std::cout);
    if (!views.empty()) std::ofstream(views) << testbed::to_csv(played.samples);
    std::cout << (played.passed ? "passed" : "FAILED") << ": " << played.asked << " requests, " << played.lost
              << " lost, longest datagram " << played.longest_datagram << " bytes\n";
    for (const std::string& failure : played.failures) std::cerr << failure << '\n';
    failed += played.passed ? 0 : 1;
  }
  return failed == 0 ? 0 : 1;
}

int plot(const std::string& views, const std::string& title) {
  std::ifstream in(views);
  if (!in) throw std::runtime_error(views + ": the file can't be read");
  std::cout << testbed::plot(testbed::from_csv({std::istreambuf_iterator<char>(in), {}}), title);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  CLI::App app("Compares the views of a fleet's routers, and runs testbed scripts with faults.",
               "streampick_fleet");
  app.require_subcommand(1);
  std::vector<std::string> addresses;
  bool once = false;
  double within_s = 0;
  std::string file, views, title = "Routers that each router counts as alive";
  testbed::BedSettings settings{"build-full/streampick_router", ""};
  int plays = 1;
  CLI::App* watching =
      app.add_subcommand("watch", "show the views of routers side by side, by their management addresses");
  watching->add_option("addresses", addresses, "HOST:PORT of each")->required();
  watching->add_flag("--once", once, "print once and exit");
  CLI::App* agreeing = app.add_subcommand(
      "agree",
      "check that all routers hold the same view and count each other as alive; exit code 0: they do");
  agreeing->add_option("addresses", addresses, "HOST:PORT of each")->required();
  agreeing->add_option("--within", within_s, "seconds to wait until they agree")
      ->check(CLI::Range(0.0, 86'400.0));
  CLI::App* sharing = app.add_subcommand(
      "shares",
      "show routers' shares of limits side by side; exit code 1: the sum of a hard limit exceeds its total");
  sharing->add_option("addresses", addresses, "HOST:PORT of each")->required();
  CLI::App* running = app.add_subcommand("run", "run a testbed script with real processes");
  running->add_option("file", file, "the script (TOML)")->required();
  running->add_option("--router", settings.router, "the router's program");
  running->add_option("--logs", settings.logs, "a directory for the routers' logs");
  running->add_option("--views", views, "a CSV file for each router's count of alive routers over time");
  running->add_option("--plays", plays, "how often to run the script")->check(CLI::Range(1, 1'000));
  CLI::App* plotting = app.add_subcommand("plot", "draw a file that --views wrote, as SVG");
  plotting->add_option("file", file, "the file")->required();
  plotting->add_option("--title", title, "title of the chart");
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& asked) {
    return app.exit(asked);
  } catch (const CLI::ParseError& error) {
    std::cerr << "streampick_fleet: " << error.what() << '\n';
    return kUsageOrFatalError;
  }
  try {
    if (*watching) return watch(addresses, once);
    if (*agreeing) return agree(addresses, within_s);
    if (*sharing) return shares(addresses);
    if (*running) return run(file, settings, views, plays);
    return plot(file, title);
  } catch (const std::exception& wrong) {
    std::cerr << "streampick_fleet: " << wrong.what() << '\n';
    return kUsageOrFatalError;
  }
}
