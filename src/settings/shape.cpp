#include "settings/shape.h"

#include <nlohmann/json.hpp>
#include <string>

#include "settings/json_value.h"

namespace streampick {
namespace {

using nlohmann::json;

const char* kind_of(const json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "a list";
  if (value.is_string()) return "a text";
  if (value.is_boolean()) return "true or false";
  if (value.is_number()) return "a number";
  return "nothing";
}

// What all objects of a list have, with the first one's values.
json common(const json& list) {
  json out = list.front();
  for (const json& item : list) {
    if (!item.is_object()) return nullptr;
    for (auto at = out.begin(); at != out.end();)
      at = item.contains(at.key()) && kind_of(item[at.key()]) == kind_of(*at) ? std::next(at) : out.erase(at);
  }
  return out;
}

void require(const std::string& path, const json& accepted, const json& next) {
  if (accepted.is_null()) return;
  if (kind_of(accepted) != kind_of(next)) JsonValue(next, path).wrong(kind_of(accepted));
  if (accepted.is_object()) {
    for (const auto& [key, value] : accepted.items()) {
      if (value.is_null()) continue;
      const std::string inner = path.empty() ? key : path + "." + key;
      if (!next.contains(key) || next[key].is_null()) throw JsonError(inner, "missing", kind_of(value));
      if (inner != "known") require(inner, value, next[key]);
    }
  } else if (accepted.is_array() && !accepted.empty() && accepted.front().is_object()) {
    const json all = common(accepted);
    for (std::size_t i = 0; i < next.size(); ++i) require(path + "[" + std::to_string(i) + "]", all, next[i]);
  }
}

}  // namespace

void require_shape(const json& accepted, const json& next) { require("", accepted, next); }

}  // namespace streampick
