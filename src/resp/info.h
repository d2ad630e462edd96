// What INFO tells of this router, in the sections and names that clients of the protocol look for. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace streampick::resp {

// A front's figures at one moment. All counts are since the start.
struct Figures {
  std::uint64_t uptime_seconds = 0;
  unsigned port = 0;  // of the front
  std::size_t clients = 0, most_clients = 0;
  std::size_t in_work = 0;  // requests whose replies are not written yet
  std::uint64_t accepted = 0, turned_away = 0, commands = 0, requests = 0, bad = 0;
};

// The reply to INFO: `words` are the command's, its name first; the sections named, or all of them. A section
// that is not known is left out, as the field's servers do. Lines end in CR LF, sections in an empty line.
std::string info(const Figures& figures, std::span<const std::string> words);

}  // namespace streampick::resp
