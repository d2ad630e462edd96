#include "settings/shape.h"

#include <nlohmann/json.hpp>
#include <string>

#include "settings/json_value.h"

namespace streampick {
namespace {

using nlohmann::json;

const char* type_of(const json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "a list";
  if (value.is_string()) return "a text";
  if (value.is_boolean()) return "true or false";
  if (value.is_number()) return "a number";
  return "nothing";
}

// The members that all objects of a list have, with the values of the first object.
json common_members(const json& list) {
  json out = list.front();
  for (const json& item : list) {
    if (!item.is_object()) return nullptr;
    for (auto at = out.begin(); at != out.end();)
      at = item.contains(at.key()) && type_of(item[at.key()]) == type_of(*at) ? std::next(at) : out.erase(at);
  }
  return out;
}

void require_members(const std::string& path, const json& accepted, const json& next) {
  if (accepted.is_null()) return;
  if (type_of(accepted) != type_of(next)) JsonValue(next, path).reject(type_of(accepted));
  if (accepted.is_object()) {
    for (const auto& [key, value] : accepted.items()) {
      if (value.is_null()) continue;
      const std::string inner = path.empty() ? key : path + "." + key;
      if (!next.contains(key) || next[key].is_null()) throw JsonError(inner, "missing", type_of(value));
      if (inner != "known") require_members(inner, value, next[key]);
    }
  } else if (accepted.is_array() && !accepted.empty() && accepted.front().is_object()) {
    const json shared = common_members(accepted);
    for (std::size_t i = 0; i < next.size(); ++i)
      require_members(path + "[" + std::to_string(i) + "]", shared, next[i]);
  }
}

}  // namespace

void require_shape(const json& accepted, const json& next) { require_members("", accepted, next); }

}  // namespace streampick
