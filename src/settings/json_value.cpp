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
  if (!value_->is_object()) wrong(expected);
  return *this;
}

std::vector<JsonValue> JsonValue::items(const char* expected) const {
  if (!value_->is_array()) wrong(expected);
  std::vector<JsonValue> out;
  out.reserve(value_->size());
  for (std::size_t i = 0; i < value_->size(); ++i)
    out.emplace_back((*value_)[i], path_ + "[" + std::to_string(i) + "]");
  return out;
}

std::string JsonValue::text(const char* expected, std::size_t least, std::size_t most) const {
  if (!value_->is_string()) wrong(expected);
  const auto& out = value_->get_ref<const std::string&>();
  if (out.size() < least || out.size() > most) wrong(expected);
  return out;
}

bool JsonValue::yes() const {
  if (!value_->is_boolean()) wrong("true or false");
  return value_->get<bool>();
}

double JsonValue::number(double least, double most, const char* expected) const {
  if (!value_->is_number()) wrong(expected);
  const double out = value_->get<double>();
  if (!(out >= least && out <= most)) wrong(expected);  // written so that NaN is rejected too
  return out;
}

std::uint64_t JsonValue::whole(std::uint64_t least, std::uint64_t most) const {
  const std::string expected =
      "a whole number from " + std::to_string(least) +
      (most == std::numeric_limits<std::uint64_t>::max() ? " on" : " to " + std::to_string(most));
  if (value_->is_number_float()) {
    // Some JSON writers print every number with a decimal point.
    const double given = value_->get<double>();
    if (!(given >= static_cast<double>(least) && given <= 9e15) || given != std::floor(given))
      wrong(expected);
    if (static_cast<std::uint64_t>(given) > most) wrong(expected);
    return static_cast<std::uint64_t>(given);
  }
  if (!value_->is_number_unsigned()) wrong(expected);
  const auto out = value_->get<std::uint64_t>();
  if (out < least || out > most) wrong(expected);
  return out;
}

void JsonValue::wrong(const std::string& expected) const {
  throw JsonError(path_, "found " + describe(*value_), expected);
}

}  // namespace streampick
