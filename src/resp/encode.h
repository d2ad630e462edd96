// RESP values to bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "resp/value.h"

namespace streampick::resp {

enum class Version : std::uint8_t { resp2 = 2, resp3 = 3 };

// Appends the value. RESP2 has no form for RESP3's types: a map becomes a flat array, a set or push an array,
// a boolean 1 or 0, a real, big number or verbatim a blob, a blob error an error; attributes are left out.
// A line break within a simple text or an error would end it early and is written as a space.
void encode(const Value& value, Version version, std::string& out);

// Appends a command as clients send it: an array of blobs.
void encode_command(const std::vector<std::string_view>& words, std::string& out);

// Appends a number in decimal digits.
void append_number(std::int64_t number, std::string& out);

}  // namespace streampick::resp
