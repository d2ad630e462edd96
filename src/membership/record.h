/// \file
/// The record of one process instance, as kept in member tables and sent in messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/types.h"

namespace streampick::membership {

/// At the same incarnation, a later state in this order supersedes an earlier one.
enum class State : std::uint8_t { alive, suspect, unreachable, left };

/// A property of a process that it announces itself, for instance that it is draining. Receivers forward
/// facts with unknown ids unchanged.
struct Fact {
  std::uint32_t id = 0;
  std::uint64_t value = 0;
  friend bool operator==(const Fact&, const Fact&) = default;
};
inline constexpr std::uint32_t kDraining = 1;
inline constexpr std::uint32_t kVersion = 2;
/// Sorted by id, each id once.
using Facts = std::vector<Fact>;

inline constexpr std::size_t kMaxNameLength = 32;
inline constexpr std::size_t kMaxFacts = 4;
inline constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 40U;

/// A brief record has neither name nor address. It is of use only to receivers that know the instance
/// already.
struct Record {
  InstanceId instance = 0;
  std::string name = {};
  Address address = 0;
  std::uint64_t incarnation = 0;
  State state = State::alive;
  InstanceId suspected_by = 0;  ///< suspect: the process that suspects it
  Time age = 0;                 ///< unreachable, left: time in this state; whole seconds on the wire
  Facts facts = {};

  [[nodiscard]] bool is_brief() const { return address == 0; }
  friend bool operator==(const Record&, const Record&) = default;
};

/// The value of the fact `id`; 0 if the record does not have it.
std::uint64_t fact(const Record& record, std::uint32_t id);

/// Why the record is invalid; empty if it is valid.
std::string_view validation_error(const Record& record);

/// Whether `candidate` supersedes `current`, a record of the same instance: `left` is final, then the higher
/// incarnation, then the later state.
bool supersedes(const Record& candidate, const Record& current);

}  // namespace streampick::membership
