#include "resp/info.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "resp/commands.h"

namespace streampick::resp {
namespace {

void line(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(":").append(value).append("\r\n");
}
void line(std::string& out, std::string_view name, std::uint64_t value) {
  line(out, name, std::string_view(std::to_string(value)));
}

void server(std::string& out, const Figures& figures) {
  line(out, "server_name", std::string_view("streampick"));
  line(out, "redis_mode", std::string_view("standalone"));
  line(out, "loading", std::uint64_t{0});
  line(out, "tcp_port", std::uint64_t{figures.port});
  line(out, "uptime_in_seconds", figures.uptime_seconds);
  line(out, "uptime_in_days", figures.uptime_seconds / 86'400);
}
void clients(std::string& out, const Figures& figures) {
  line(out, "connected_clients", figures.clients);
  line(out, "maxclients", figures.most_clients);
  line(out, "requests_in_work", figures.in_work);
}
void stats(std::string& out, const Figures& figures) {
  line(out, "total_connections_received", figures.accepted);
  line(out, "rejected_connections", figures.turned_away);
  line(out, "total_commands_processed", figures.commands);
  line(out, "requests", figures.requests);
  line(out, "unreadable_clients", figures.bad);
}
// The router takes writes itself and follows nobody: clients that look for the one to write to find it.
void replication(std::string& out, const Figures&) {
  line(out, "role", std::string_view("master"));
  line(out, "connected_slaves", std::uint64_t{0});
}

struct Section {
  std::string_view name, title;
  void (*write)(std::string&, const Figures&);
};
constexpr std::array<Section, 4> kSections = {{{"SERVER", "Server", server},
                                               {"CLIENTS", "Clients", clients},
                                               {"STATS", "Stats", stats},
                                               {"REPLICATION", "Replication", replication}}};

}  // namespace

std::string info(const Figures& figures, std::span<const std::string> words) {
  const auto asked = [&](std::string_view name) {
    return words.size() < 2 || std::any_of(words.begin() + 1, words.end(), [&](const std::string& word) {
             const std::string wanted = upper(word);
             return wanted == name || wanted == "ALL" || wanted == "DEFAULT" || wanted == "EVERYTHING";
           });
  };
  std::string out;
  for (const Section& section : kSections) {
    if (!asked(section.name)) continue;
    if (!out.empty()) out += "\r\n";
    out.append("# ").append(section.title).append("\r\n");
    section.write(out, figures);
  }
  return out;
}

}  // namespace streampick::resp
