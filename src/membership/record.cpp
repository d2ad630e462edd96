#include "membership/record.h"

#include <algorithm>

namespace streampick::membership {
namespace {

bool is_printable(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte > 0x20 && byte < 0x7f;
}

}  // namespace

std::uint64_t fact(const Record& record, std::uint32_t id) {
  const auto found =
      std::find_if(record.facts.begin(), record.facts.end(), [&](const Fact& fact) { return fact.id == id; });
  return found == record.facts.end() ? 0 : found->value;
}

std::string_view validation_error(const Record& record) {
  if (record.instance == 0) {
    return "instance id is missing";
  }
  if (record.name.empty() != record.is_brief()) {
    return "record has only one of name and address";
  }
  if (record.name.size() > kMaxNameLength) {
    return "name is too long";
  }
  if (!std::all_of(record.name.begin(), record.name.end(), is_printable)) {
    return "name contains a character that is not printable";
  }
  if (record.address > kHighestAddress) {
    return "address is out of range";
  }
  if (record.incarnation > kMaxIncarnation) {
    return "incarnation is out of range";
  }
  if (record.facts.size() > kMaxFacts) {
    return "too many facts";
  }
  for (std::size_t i = 1; i < record.facts.size(); ++i) {
    if (record.facts[i].id <= record.facts[i - 1].id) {
      return "facts are not sorted by id";
    }
  }
  return {};
}

bool supersedes(const Record& candidate, const Record& current) {
  if (current.state == State::left) {
    return false;
  }
  if (candidate.state == State::left) {
    return true;
  }
  if (candidate.incarnation != current.incarnation) {
    return candidate.incarnation > current.incarnation;
  }
  return candidate.state > current.state;
}

}  // namespace streampick::membership
