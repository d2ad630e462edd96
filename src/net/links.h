// What the connections to all servers share: one budget of descriptors, one of memory, one buffer to read
// into.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "engine/message.h"
#include "overload/cancelled.h"
#include "overload/descriptors.h"
#include "streampick/router.h"

namespace streampick::net {

struct Links {
  std::vector<char> scratch = std::vector<char>(64 * 1024);  // what is read goes here first

  // Bytes of large bodies that are held at this moment, from the first one read to the last one written.
  std::shared_ptr<std::size_t> large = std::make_shared<std::size_t>(0);
  std::size_t most_large = 8 * 1024 * 1024;
  // The memory for one; none: many at once, or clients that don't take theirs, would fill it.
  std::optional<engine::MemoryReservation> reservation(std::size_t bytes) const {
    if (*large + bytes > most_large) return std::nullopt;
    return engine::MemoryReservation(large, bytes);
  }

  // A body over this many bytes is passed on as it comes, and so is one that there is no memory for; what is
  // read whole can be asked for again when it breaks. And the longest that is passed on at all.
  std::size_t parts_from = 1024 * 1024;
  std::uint64_t longest_in_parts = 32ULL * 1024 * 1024;
  Time whole_wait = 40'000;  // us that a long body is waited for, to read it whole
  struct Streams {
    std::uint64_t begun = 0, cut = 0, left = 0;
    std::size_t open = 0;
  } streams;

  std::size_t connections = 0;
  std::size_t most_connections = 0;              // where nothing is shared with clients
  overload::Descriptors* descriptors = nullptr;  // ... and where it is, the budget
  bool has_room() const {
    return descriptors != nullptr ? descriptors->has_room(overload::Descriptors::Side::servers)
                                  : connections < most_connections;
  }
  void opened() {
    ++connections;
    if (descriptors != nullptr) descriptors->take(overload::Descriptors::Side::servers);
  }
  void closed() {
    --connections;
    if (descriptors != nullptr) descriptors->give(overload::Descriptors::Side::servers);
  }
  overload::CancelRules cancels;
  std::size_t draining = 0;  // connections that wait for an answer nobody wants
  struct Drains {
    std::uint64_t begun = 0, reused = 0;
  } drains;
  Time connect_timeout = 0;
  std::uint64_t dials = 0;
  std::uint64_t written_whole = 0;  // attempts whose last byte went out
  // Called when the descriptors for servers are used up: closes what is idle, to a server or of a client.
  std::function<void()> evict_idle_connection = [] {};
};

}  // namespace streampick::net
