// Values in a failed test's text, as they stand on the wire.
#pragma once

#include <ostream>
#include <string>

#include "resp/encode.h"

namespace streampick::resp {

inline void PrintTo(const Value& value, std::ostream* out) {
  std::string bytes;
  encode(value, Version::resp3, bytes);
  for (const char c : bytes.substr(0, 200))
    *out << (c == '\r' ? std::string("\\r") : c == '\n' ? "\\n" : std::string(1, c));
}

}  // namespace streampick::resp
