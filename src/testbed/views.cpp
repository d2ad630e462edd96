#include "testbed/views.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "net/tcp.h"

namespace streampick::testbed {

namespace asio = boost::asio;
using boost::system::error_code;

View read_view(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text.substr(0, text.find('\n')));
    View out;
    out.name = json.at("self").at("name");
    out.boot = json.at("self").at("boot");
    out.digest = json.at("digest");
    out.alive = json.at("alive");
    out.least = json.at("least");
    out.most = json.at("most");
    out.routers = json.at("routers");
    out.unreachable = json.at("unreachable");
    out.settled = json.at("settled");
    out.declared = json.at("figures").at("declared");
    out.longest = json.at("figures").at("longest");
    for (const auto& member : json.at("members")) {
      out.states[member.at("boot")] = member.at("state");
      out.names[member.at("boot")] = member.at("name");
    }
    return out;
  } catch (const nlohmann::json::exception& wrong) {
    throw std::runtime_error(std::string("no view: ") + wrong.what());
  }
}

std::optional<std::string> call(const std::string& address, const std::string& line,
                                std::chrono::milliseconds within) {
  const auto endpoint = net::parse_endpoint(address);
  if (!endpoint) return std::nullopt;
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  std::string got;
  bool whole = false;
  const std::string said = line + "\n";
  socket.async_connect(*endpoint, [&](error_code error) {
    if (error) return;
    asio::async_write(socket, asio::buffer(said), [&](error_code unsent, std::size_t) {
      if (unsent) return;
      asio::async_read(socket, asio::dynamic_buffer(got),
                       [&](error_code end, std::size_t) { whole = end == asio::error::eof; });
    });
  });
  io.run_for(within);
  if (!whole) return std::nullopt;
  return got;
}

std::optional<View> ask_view(const std::string& address, std::chrono::milliseconds within) {
  const auto got = call(address, "FLEET", within);
  if (!got || got->rfind("NAK", 0) == 0) return std::nullopt;
  return read_view(*got);
}

std::vector<SharedPart> read_parts(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text.substr(0, text.find('\n')));
    std::vector<SharedPart> out;
    for (const auto& limit : json.at("limits")) {
      SharedPart one;
      one.limit = limit.at("name");
      one.total = limit.at("total");
      one.usable = limit.at("usable");
      one.wanted = limit.at("wanted");
      one.out = limit.value("out", -1.0);
      one.home = limit.contains("at_home");
      one.hard = limit.at("kind") == "hard";
      out.push_back(std::move(one));
    }
    return out;
  } catch (const nlohmann::json::exception& wrong) {
    throw std::runtime_error(std::string("no shares: ") + wrong.what());
  }
}

std::optional<std::vector<SharedPart>> ask_parts(const std::string& address,
                                                 std::chrono::milliseconds within) {
  const auto got = call(address, "SHARES", within);
  if (!got || got->rfind("NAK", 0) == 0) return std::nullopt;
  return read_parts(*got);
}

std::string parts_side_by_side(
    const std::vector<std::pair<std::string, std::optional<std::vector<SharedPart>>>>& parts, bool& over) {
  struct Sum {
    double total = 0, usable = 0, wanted = 0;
    bool hard = false;
    std::string home = "-", each;
  };
  std::map<std::string, Sum> sums;
  std::string out;
  over = false;
  for (const auto& [address, own] : parts) {
    if (!own) {
      out += address + " does not answer\n";
      continue;
    }
    for (const SharedPart& part : *own) {
      Sum& sum = sums[part.limit];
      sum.total = std::max(sum.total, part.total);
      sum.usable += part.usable;
      sum.wanted += part.wanted;
      sum.hard = part.hard;
      if (part.home) sum.home = address;
      std::array<char, 40> text{};
      std::snprintf(text.data(), text.size(), " %.6g", part.usable);
      sum.each += text.data();
    }
  }
  for (const auto& [name, sum] : sums) {
    std::array<char, 200> line{};
    const bool too_much = sum.hard && sum.usable > sum.total;
    over = over || too_much;
    std::snprintf(line.data(), line.size(),
                  "%-24.24s %s  total %.6g  usable %.6g  wanted %.6g  home %s%s  each:", name.c_str(),
                  sum.hard ? "hard" : "soft", sum.total, sum.usable, sum.wanted, sum.home.c_str(),
                  too_much ? "  OVER" : "");
    out += line.data() + sum.each + "\n";
  }
  return out;
}

std::vector<std::string> differences(const std::vector<View>& views) {
  std::vector<std::string> out;
  std::set<std::string> there;
  for (const View& view : views) there.insert(view.boot);
  for (const View& view : views) {
    if (view.digest != views.front().digest)
      out.push_back(view.name + " holds another view than " + views.front().name);
    std::size_t alive = 1;
    for (const auto& [boot, state] : view.states) {
      const bool well = state == "alive";
      if (well) ++alive;
      if ((well || state == "suspect") && !there.contains(boot))
        out.push_back(view.name + " holds " + view.names.at(boot) + " for " + state + ", which does not run");
      if (!well && there.contains(boot))
        out.push_back(view.name + " holds " + view.names.at(boot) + " for " + state);
    }
    if (alive < there.size())
      out.push_back(view.name + " counts " + std::to_string(alive) + " of " + std::to_string(there.size()));
  }
  return out;
}

std::string side_by_side(const std::vector<std::pair<std::string, std::optional<View>>>& views) {
  std::vector<View> known;
  for (const auto& [address, view] : views)
    if (view) known.push_back(*view);
  std::map<std::string, std::size_t> digests;
  for (const View& view : known) ++digests[view.digest];
  std::string most;
  for (const auto& [digest, count] : digests)
    if (most.empty() || count > digests[most]) most = digest;
  std::string out = "router                 alive  least  most  unreachable  divides by  view\n";
  for (const auto& [address, view] : views) {
    std::array<char, 200> line{};
    if (view) {
      std::snprintf(line.data(), line.size(), "%-22.22s %5zu  %5zu %5zu  %11zu  %10zu  %.8s%s%s\n",
                    view->name.c_str(), view->alive, view->least, view->most, view->unreachable,
                    view->routers, view->digest.c_str(), view->digest == most ? "" : "  DIFFERS",
                    view->settled ? "" : "  unsettled");
    } else {
      std::snprintf(line.data(), line.size(), "%-22.22s does not answer\n", address.c_str());
    }
    out += line.data();
  }
  return out;
}

}  // namespace streampick::testbed
