// A value of a JSON document together with its path, so that an error message of one line can name the path,
// the value found and the value expected. Used for the platform's configuration and for lists of servers.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace streampick {

// what(): "known.members[2].size: there is -1, expected a number of 0 or more".
class JsonError : public std::runtime_error {
 public:
  JsonError(const std::string& path, const std::string& found, const std::string& expected);
};

// Throws JsonError when `text` is not JSON.
nlohmann::json parse_json(const std::string& text);

// A view: the document must outlive it. The functions that read throw JsonError when the value has another
// type than the function returns or is out of range.
class JsonValue {
 public:
  explicit JsonValue(const nlohmann::json& value, std::string path = {})
      : value_(&value), path_(std::move(path)) {}

  // The member `key` of an object. When it is missing or null, at() throws and find() returns nothing.
  JsonValue at(std::string_view key, const char* expected) const;
  std::optional<JsonValue> find(std::string_view key) const;

  const JsonValue& object(const char* expected = "an object") const;
  std::vector<JsonValue> items(const char* expected) const;
  std::string string(const char* expected, std::size_t min = 0, std::size_t max = 4096) const;
  bool boolean() const;
  double number(double min, double max, const char* expected) const;
  std::uint64_t integer(std::uint64_t min, std::uint64_t max) const;
  [[noreturn]] void reject(const std::string& expected) const;

  const nlohmann::json& json() const { return *value_; }
  const std::string& path() const { return path_; }

 private:
  std::string inner(std::string_view key) const;
  const nlohmann::json* value_;
  std::string path_;
};

}  // namespace streampick
