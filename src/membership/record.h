// What routers know of each other, and the messages that carry it. No I/O and no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace streampick::membership {

using Time = std::int64_t;  // microseconds on the host's clock, which never goes back
inline constexpr Time kNever = INT64_MAX;
inline constexpr Time kSecond = 1'000'000;

using Boot = std::uint64_t;  // a random number of one run of a process; 0: none

// Where a process is reached, as all routers write it: a number in the platform's `peers`, or an IPv4 address
// and a port. 0: nowhere.
using Address = std::uint64_t;
constexpr Address numbered(std::uint32_t number) { return std::uint64_t{number} + 1; }
constexpr Address at(std::uint32_t ipv4, std::uint16_t port) { return (std::uint64_t{ipv4} << 16U) | port; }
constexpr bool is_numbered(Address address) { return address > 0 && address <= 0xffff; }
inline constexpr Address kHighestAddress = (std::uint64_t{1} << 48U) - 1;

// In the order in which one takes the place of another at one incarnation.
enum class State : std::uint8_t { alive, suspect, unreachable, left };

// What a process says of itself. Numbers that a reader does not know are passed on unread.
struct Fact {
  std::uint32_t id = 0;
  std::uint64_t value = 0;
  friend bool operator==(const Fact&, const Fact&) = default;
};
inline constexpr std::uint32_t kDraining = 1, kVersion = 2;
using Facts = std::vector<Fact>;  // by id, each once

inline constexpr std::size_t kLongestName = 32, kMostFacts = 4, kMostNews = 64, kParts = 16;
inline constexpr std::uint64_t kHighestIncarnation = std::uint64_t{1} << 40U;

// In brief, without name and address, a record says something only to who knows its boot.
struct Record {
  Boot boot = 0;
  std::string name = {};
  Address address = 0;
  std::uint64_t incarnation = 0;
  State state = State::alive;
  Boot by = 0;   // of a suspicion: who has it
  Time age = 0;  // of one that is unreachable or has left: since when; whole seconds on the wire
  Facts facts = {};
  bool brief() const { return address == 0; }
  friend bool operator==(const Record&, const Record&) = default;
};

inline std::uint64_t fact(const Record& record, std::uint32_t id) {
  for (const Fact& one : record.facts)
    if (one.id == id) return one.value;
  return 0;
}

struct Message {
  // `probe` is answered by `answer`. `ask_to_probe` asks a third to probe `subject`, and is answered by
  // `answer` in its name, or by `no_answer`. `compare` tells the digests of the parts of a range of boots;
  // `records` what stands in such a range. `tell` wants no answer.
  enum class Kind : std::uint8_t { probe, answer, ask_to_probe, no_answer, compare, records, tell };
  Kind kind = Kind::probe;
  std::uint32_t number = 0;
  Boot meant = 0;
  Record self = {};
  std::uint64_t digest = 0;
  std::uint32_t known = 0;
  Address subject = 0;
  std::vector<Record> news = {};
  std::uint32_t depth = 0;
  std::uint64_t prefix = 0;
  std::vector<std::uint32_t> parts = {};
  bool last = false;
  friend bool operator==(const Message&, const Message&) = default;
};
inline constexpr std::size_t kKinds = 7;
constexpr std::array<const char*, kKinds> kKindNames = {"probe",   "answer",  "ask_to_probe", "no_answer",
                                                        "compare", "records", "tell"};

}  // namespace streampick::membership
