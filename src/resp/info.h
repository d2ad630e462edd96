// The reply to INFO, with the section and field names that Redis clients expect. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace streampick::resp {

// Statistics of a front at one moment. Counters start at 0 with the process.
struct Statistics {
  std::uint64_t uptime_seconds = 0;
  unsigned port = 0;  // that the front listens on
  std::size_t clients = 0, most_clients = 0;
  std::size_t unwritten_requests = 0;  // requests whose replies are not written yet
  std::uint64_t accepted = 0, turned_away = 0, commands = 0, requests = 0, bad = 0;
};

// The text of the reply to INFO. `words` is the command, starting with its name; it may name sections, and
// without names the text has all sections. An unknown section is omitted, as Redis does. Lines end in CR LF,
// and an empty line separates sections.
std::string info(const Statistics& statistics, std::span<const std::string> words);

}  // namespace streampick::resp
