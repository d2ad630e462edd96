// Prints values in the messages of failed tests, in their encoded form.
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
