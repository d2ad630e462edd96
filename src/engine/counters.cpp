#include "engine/counters.h"

namespace streampick::engine {
namespace {

constexpr std::array<const char*, kOutcomes> kOutcomeNames = {
    "served",    "error",    "full", "timeout", "connect_failed", "reset",
    "cancelled", "not_sent", "miss", "spoilt",  "rejected"};

std::string field(const char* name, std::uint64_t value) {
  return std::string(name) + "=" + std::to_string(value);
}

}  // namespace

// Operators' tools parse the names in this line: they must not change.
std::string Counters::summary(const std::string& extra_fields) const {
  std::string line = field("asked", requests);
  line += " " + field("served", served);
  line += " " + field("refused", refused);
  line += " " + field("failed", failed);
  line += " " + field("withdrawn", cancelled_by_client);
  line += " " + field("guarded", deadline_guards);
  line += " " + field("attempts", attempts);
  line += " " + field("cancels", cancelled_attempts);
  line += extra_fields + " outcomes:";
  for (std::size_t i = 0; i < kOutcomes; ++i) line += " " + field(kOutcomeNames[i], outcomes[i]);
  return line;
}

}  // namespace streampick::engine
