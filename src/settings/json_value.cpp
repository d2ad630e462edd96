#include "settings/json_value.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace streampick {
namespace {

constexpr std::size_t kMaxShownSize = 60;  // bytes of the value found

// The value for an error message: short and in one line.
std::string describe(const nlohmann::json& value) {
  using nlohmann::json;
  if (value.is_object()) return value.empty() ? "an empty object" : "an object";
  if (value.is_array()) return value.empty() ? "an empty list" : "a list";
  std::string out = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (out.size() > kMaxShownSize) out = out.substr(0, kMaxShownSize) + "...";
  return out;
}

std::string error_message(const std::string& path, const std::string& found, const std::string& expected) {
  return (path.empty() ? "the document" : path) + ": " + found + ", expected " + expected;
}

}  // namespace

JsonError::JsonError(const std::string& path, const std::string& found, const std::string& expected)
    : std::runtime_error(error_message(path, found, expected)) {}

nlohmann::json parse_json(const std::string& text) {
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::parse_error& error) {
    const std::size_t at = std::min(error.byte > 0 ? error.byte - 1 : 0, text.size());
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n');
    throw JsonError("line " + std::to_string(line),
                    at >= text.size() ? "the text ends" : "byte " + std::to_string(at) + " can't be read",
                    "JSON");
  }
}

std::string JsonValue::inner(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

JsonValue JsonValue::at(std::string_view key, const char* expected) const {
  if (const auto found = find(key)) return *found;
  throw JsonError(inner(key), "missing", expected);
}

std::optional<JsonValue> JsonValue::find(std::string_view key) const {
  object();
  const auto found = value_->find(std::string(key));
  if (found == value_->end() || found->is_null()) return std::nullopt;
  return JsonValue(*found, inner(key));
}

const JsonValue& JsonValue::object(const char* expected) const {
  if (!value_->is_object()) reject(expected);
  return *this;
}

std::vector<JsonValue> JsonValue::items(const char* expected) const {
  if (!value_->is_array()) reject(expected);
  std::vector<JsonValue> out;
  out.reserve(value_->size());
  for (std::size_t i = 0; i < value_->size(); ++i)
    out.emplace_back((*value_)[i], path_ + "[" + std::to_string(i) + "]");
  return out;
}

std::string JsonValue::string(const char* expected, std::size_t min, std::size_t max) const {
  if (!value_->is_string()) reject(expected);
  const auto& out = value_->get_ref<const std::string&>();
  if (out.size() < min || out.size() > max) reject(expected);
  return out;
}

bool JsonValue::boolean() const {
  if (!value_->is_boolean()) reject("true or false");
  return value_->get<bool>();
}

double JsonValue::number(double min, double max, const char* expected) const {
  if (!value_->is_number()) reject(expected);
  const double out = value_->get<double>();
  if (!(out >= min && out <= max)) reject(expected);  // written so that NaN is rejected too
  return out;
}

std::uint64_t JsonValue::integer(std::uint64_t min, std::uint64_t max) const {
  const std::string expected =
      "a whole number from " + std::to_string(min) +
      (max == std::numeric_limits<std::uint64_t>::max() ? " on" : " to " + std::to_string(max));
  if (value_->is_number_float()) {
    // Some JSON writers print every number with a decimal point.
    const double given = value_->get<double>();
    if (!(given >= static_cast<double>(min) && given <= 9e15) || given != std::floor(given)) reject(expected);
    if (static_cast<std::uint64_t>(given) > max) reject(expected);
    return static_cast<std::uint64_t>(given);
  }
  if (!value_->is_number_unsigned()) reject(expected);
  const auto out = value_->get<std::uint64_t>();
  if (out < min || out > max) reject(expected);
  return out;
}

void JsonValue::reject(const std::string& expected) const {
  throw JsonError(path_, "found " + describe(*value_), expected);
}

}  // namespace streampick
