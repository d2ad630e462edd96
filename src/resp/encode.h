// Encodes RESP values to bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "resp/value.h"

namespace streampick::resp {

enum class Version : std::uint8_t { resp2 = 2, resp3 = 3 };

// Appends the encoded value to `out`. RESP2 lacks the types that RESP3 added: a map becomes a flat array, a
// set or push an array, a boolean 1 or 0, a real, big number or verbatim a blob, a blob error an error, and
// attributes are omitted. A line break within a simple string or an error is written as a space, as it would
// end the value early.
void encode(const Value& value, Version version, std::string& out);

// Appends a command in the form that clients send: an array of blobs.
void encode_command(const std::vector<std::string_view>& words, std::string& out);

// Appends a number in decimal digits.
void append_number(std::int64_t number, std::string& out);

}  // namespace streampick::resp
