// A value of a JSON document that knows where it stands, so that every mistake is told in one line: the key's
// path, what stands there and what was expected. For the platform's configuration and lists of servers.
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

// Throws JsonError when `text` is no JSON.
nlohmann::json parse_json(const std::string& text);

// A view: the document outlives it. All that read throw JsonError when the value is not what is asked for.
class JsonValue {
 public:
  explicit JsonValue(const nlohmann::json& value, std::string path = {})
      : value_(&value), path_(std::move(path)) {}

  // Of an object. A key that is not there, or is null, is an error of at(), and nothing to find().
  JsonValue at(std::string_view key, const char* expected) const;
  std::optional<JsonValue> find(std::string_view key) const;

  const JsonValue& object(const char* expected = "an object") const;
  std::vector<JsonValue> items(const char* expected) const;
  std::string text(const char* expected, std::size_t least = 0, std::size_t most = 4096) const;
  bool yes() const;
  double number(double least, double most, const char* expected) const;
  std::uint64_t whole(std::uint64_t least, std::uint64_t most) const;
  [[noreturn]] void wrong(const std::string& expected) const;

  const nlohmann::json& json() const { return *value_; }
  const std::string& path() const { return path_; }

 private:
  std::string inner(std::string_view key) const;
  const nlohmann::json* value_;
  std::string path_;
};

}  // namespace streampick
