// What routers know of each other, and the messages that carry it. No I/O and no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
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

// Why a record can't be one; empty: it can.
inline std::string_view fault(const Record& record) {
  if (record.boot == 0) return "it has no boot";
  if (record.name.empty() != record.brief()) return "it is neither whole nor in brief";
  if (record.name.size() > kLongestName) return "its name is too long";
  for (const char c : record.name)
    if (static_cast<unsigned char>(c) <= 0x20 || static_cast<unsigned char>(c) >= 0x7f)
      return "its name holds what is no letter, digit or sign";
  if (record.address > kHighestAddress) return "its address is none";
  if (record.incarnation > kHighestIncarnation) return "its incarnation is beyond all that are made";
  if (record.facts.size() > kMostFacts) return "it has too many facts";
  for (std::size_t i = 1; i < record.facts.size(); ++i)
    if (record.facts[i].id <= record.facts[i - 1].id) return "its facts are not in order";
  return {};
}

struct Message {
  // `probe` is answered by `answer`. `ask_to_probe` asks a third to probe `subject`, and is answered by
  // `answer` in its name, or by `no_answer`. `compare` tells the digests of the parts of a range of boots;
  // `records` what stands in such a range. `tell` wants no answer. `guest` carries what another part of the
  // program has to say.
  enum class Kind : std::uint8_t { probe, answer, ask_to_probe, no_answer, compare, records, tell, guest };
  Kind kind = Kind::probe;
  std::uint32_t number = 0;
  Record self = {};
  std::uint64_t digest = 0;
  std::uint32_t known = 0;
  Address subject = 0;    // of ask_to_probe, and of the answer to it: who is probed
  Boot subject_boot = 0;  // ... as which process it is known
  std::vector<Record> news = {};
  std::uint32_t depth = 0;
  std::uint64_t prefix = 0;
  std::vector<std::uint32_t> parts = {};
  bool last = false;
  std::uint32_t guest = 0;  // which
  std::string payload = {};
  friend bool operator==(const Message&, const Message&) = default;
};
inline constexpr std::size_t kKinds = 8, kMostPayload = 1'200;
constexpr std::array<const char*, kKinds> kKindNames = {"probe",   "answer",  "ask_to_probe", "no_answer",
                                                        "compare", "records", "tell",         "guest"};
inline constexpr std::uint32_t kShares = 1;  // guests

}  // namespace streampick::membership
