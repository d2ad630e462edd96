// RESP values, with the names of the RESP3 specification (https://github.com/redis/redis-specifications,
// protocol/RESP3.md). The types of RESP2 are a subset.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace streampick::resp {

enum class Type : std::uint8_t {
  simple,      // +text
  error,       // -text
  number,      // :int64
  blob,        // $length, bytes
  array,       // *count
  null,        // _, and RESP2's $-1 and *-1
  real,        // ,double
  boolean,     // #t or #f
  blob_error,  // !length, bytes
  verbatim,    // =length, three letters of format, ':', bytes
  big_number,  // (digits
  map,         // %pairs
  set,         // ~count
  push,        // >count
};

// One value. `items` holds the elements of an aggregate; those of a map alternate between key and value.
struct Value {
  Type type = Type::null;
  bool boolean = false;
  std::int64_t number = 0;
  double real = 0;
  std::string text;    // of a simple, error, blob, blob_error, verbatim (without its format) or big_number
  std::string format;  // of a verbatim: "txt", "mkd" or another
  std::vector<Value> items;
  std::unique_ptr<std::vector<Value>> attributes;  // sent before the value; names and values alternate

  bool is_null() const { return type == Type::null; }
  bool is_error() const { return type == Type::error || type == Type::blob_error; }
  bool is_text() const {
    return type == Type::simple || type == Type::blob || type == Type::verbatim || type == Type::big_number;
  }

  static Value of(Type type) {
    Value out;
    out.type = type;
    return out;
  }
  static Value of(Type type, std::string text) {
    Value out = of(type);
    out.text = std::move(text);
    return out;
  }
  static Value simple(std::string text) { return of(Type::simple, std::move(text)); }
  static Value error(std::string text) { return of(Type::error, std::move(text)); }
  static Value blob(std::string text) { return of(Type::blob, std::move(text)); }
  static Value null() { return {}; }
  static Value integer(std::int64_t number) {
    Value out = of(Type::number);
    out.number = number;
    return out;
  }
  static Value array(std::vector<Value> items) {
    Value out = of(Type::array);
    out.items = std::move(items);
    return out;
  }
};

// Compares contents. A NaN equals a NaN, so that tests can compare a value with its decoded encoding.
bool operator==(const Value& a, const Value& b);

}  // namespace streampick::resp
