// Numbers formatted for log lines and operators' commands.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace streampick::fleet {

/// Formats `value` as 16 hexadecimal digits.
inline std::string hex(std::uint64_t value) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(value));
  return digits;
}

}  // namespace streampick::fleet
