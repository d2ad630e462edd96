#include "control/admin_overrides.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "settings/json_value.h"

namespace streampick::control {
namespace {

// The keys are part of the stored format: processes of earlier versions read and write them.
constexpr const char* kFormat = "streampick overrides";
constexpr std::uint64_t kVersion = 1;

constexpr std::uint64_t kMaxTime = static_cast<std::uint64_t>(std::numeric_limits<Time>::max() / 4);

AdminOverrides::Endpoints parse_endpoints(const JsonValue& list) {
  const auto items = list.items("a list of servers");
  if (items.size() > AdminOverrides::kMaxEndpoints) throw std::runtime_error("servers: more than 1024");
  constexpr const char* kExpectedId = "a text of 1 to 256 bytes";
  AdminOverrides::Endpoints endpoints;
  for (const JsonValue& item : items) {
    const std::string id = item.at("id", kExpectedId).string(kExpectedId, 1, AdminOverrides::kMaxIdSize);
    AdminOverrides::Endpoint& endpoint = endpoints[id];
    endpoint.is_disabled = item.at("out", "true or false").boolean();
    endpoint.changed_at = static_cast<Time>(item.at("since_us", "microseconds").integer(0, kMaxTime));
  }
  return endpoints;
}

}  // namespace

bool AdminOverrides::disable(const std::string& id, Time now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end() && endpoints_.size() >= kMaxEndpoints) return false;
  if (found != endpoints_.end() && found->second.is_disabled) return true;
  endpoints_[id] = {true, now};
  return true;
}

bool AdminOverrides::enable(const std::string& id, Time now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end() || !found->second.is_disabled) return false;
  found->second = {false, now};
  return true;
}

bool AdminOverrides::is_disabled(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found != endpoints_.end() && found->second.is_disabled;
}

void AdminOverrides::remove_expired(Time now, const Endpoints& past_retention) {
  std::erase_if(endpoints_, [&](const auto& entry) {
    const auto& [id, endpoint] = entry;
    if (endpoint.is_disabled || now - endpoint.changed_at <= kRetention) return false;
    const auto found = past_retention.find(id);
    return found != past_retention.end() && found->second == endpoint;
  });
}

std::string AdminOverrides::serialize() const {
  nlohmann::ordered_json document = {{"format", kFormat},
                                     {"version", kVersion},
                                     {"clients_away", is_draining_},
                                     {"servers", nlohmann::json::array()}};
  for (const auto& [id, endpoint] : endpoints_)
    document["servers"].push_back(
        {{"id", id}, {"out", endpoint.is_disabled}, {"since_us", endpoint.changed_at}});
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

AdminOverrides AdminOverrides::parse(const std::string& text) {
  if (text.size() > kMaxTextSize) throw std::runtime_error("the text is too long");
  const nlohmann::json document = parse_json(text);
  const JsonValue root(document);
  const JsonValue format = root.at("format", kFormat);
  if (format.string(kFormat) != kFormat) format.reject(kFormat);
  root.at("version", "1").integer(kVersion, kVersion);
  AdminOverrides overrides;
  overrides.is_draining_ = root.at("clients_away", "true or false").boolean();
  overrides.endpoints_ = parse_endpoints(root.at("servers", "a list of servers"));
  return overrides;
}

}  // namespace streampick::control
