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

void server(std::string& out, const Statistics& statistics) {
  line(out, "server_name", std::string_view("streampick"));
  line(out, "redis_mode", std::string_view("standalone"));
  line(out, "loading", std::uint64_t{0});
  line(out, "tcp_port", std::uint64_t{statistics.port});
  line(out, "uptime_in_seconds", statistics.uptime_seconds);
  line(out, "uptime_in_days", statistics.uptime_seconds / 86'400);
}
void clients(std::string& out, const Statistics& statistics) {
  line(out, "connected_clients", statistics.clients);
  line(out, "maxclients", statistics.most_clients);
  line(out, "requests_in_work", statistics.unwritten_requests);
}
void stats(std::string& out, const Statistics& statistics) {
  line(out, "total_connections_received", statistics.accepted);
  line(out, "rejected_connections", statistics.turned_away);
  line(out, "total_commands_processed", statistics.commands);
  line(out, "requests", statistics.requests);
  line(out, "unreadable_clients", statistics.bad);
}
// The router accepts writes and replicates no other server, so it reports the role of a writable server.
void replication(std::string& out, const Statistics&) {
  line(out, "role", std::string_view("master"));
  line(out, "connected_slaves", std::uint64_t{0});
}

struct Section {
  std::string_view name, title;
  void (*write)(std::string&, const Statistics&);
};
constexpr std::array<Section, 4> kSections = {{{"SERVER", "Server", server},
                                               {"CLIENTS", "Clients", clients},
                                               {"STATS", "Stats", stats},
                                               {"REPLICATION", "Replication", replication}}};

}  // namespace

std::string info(const Statistics& statistics, std::span<const std::string> words) {
  const auto is_wanted = [&](std::string_view name) {
    return words.size() < 2 || std::any_of(words.begin() + 1, words.end(), [&](const std::string& word) {
             const std::string wanted = upper(word);
             return wanted == name || wanted == "ALL" || wanted == "DEFAULT" || wanted == "EVERYTHING";
           });
  };
  std::string out;
  for (const Section& section : kSections) {
    if (!is_wanted(section.name)) continue;
    if (!out.empty()) out += "\r\n";
    out.append("# ").append(section.title).append("\r\n");
    section.write(out, statistics);
  }
  return out;
}

}  // namespace streampick::resp
