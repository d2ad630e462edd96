#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace streampick {
namespace {

constexpr Time kMaxClassTime = 86'400'000'000;  // us: a day

std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t end = text.find(separator);
    parts.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

class SettingReader {
 public:
  explicit SettingReader(const SettingValues& values) : values_(values) {}

  std::string_view text(const std::string& path, const char* expected = "a text") const {
    const auto found = values_.find(path);
    if (found != values_.end()) return found->second;
    if (has_members(path)) reject(path, "an object or a list of them", expected);
    return {};
  }
  // A number from `least` to `most`.
  double number(const std::string& path, double absent, double least = 0,
                double most = std::numeric_limits<double>::max()) const {
    const std::string expected = "a number" + bounds(least, most);
    const std::string_view value = text(path, expected.c_str());
    if (value.empty() || value == "-") return absent;
    const auto parsed = to_number(value);
    // Written so that NaN is rejected too.
    if (!parsed || !(*parsed >= least && *parsed <= most)) reject(path, value, expected);
    return *parsed;
  }
  template <typename Integer>
  Integer integer(const std::string& path, Integer absent, Integer least = 0) const {
    const double most = static_cast<double>(std::numeric_limits<Integer>::max() / 2);
    const std::string expected = "a whole number" + bounds(static_cast<double>(least), most);
    const std::string_view value = text(path, expected.c_str());
    if (value.empty() || value == "-") {
      if (absent < least) reject(path, value, expected);
      return absent;
    }
    const auto parsed = to_number(value);
    if (!parsed || !(*parsed >= static_cast<double>(least) && *parsed <= most)) reject(path, value, expected);
    return static_cast<Integer>(*parsed);
  }
  bool yes(const std::string& path, bool absent = false) const {
    const std::string_view value = text(path, "true or false");
    if (value.empty()) return absent;
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    reject(path, value, "true or false");
  }
  // Rejects a scalar where an object is expected: its members would be ignored without an error.
  void require_object(const std::string& path) const {
    const auto found = values_.find(path);
    if (found != values_.end() && !found->second.empty() && found->second != "-")
      reject(path, found->second, "an object");
  }
  // The length of a list of objects.
  std::uint32_t list_length(const std::string& path) const {
    const auto found = values_.find(path);
    if (found != values_.end() && !found->second.empty() && found->second != "-")
      reject(path, found->second, "a list of objects");
    return integer<std::uint32_t>(path + ".count", 0);
  }
  [[noreturn]] void reject(const std::string& path, std::string_view value,
                           const std::string& expected) const {
    throw SettingsError(path, std::string(value), expected);
  }

 private:
  static std::string to_text(double value) {
    char out[32];
    return {out, std::to_chars(out, out + sizeof out, value).ptr};
  }
  static std::string bounds(double least, double most) {
    if (most >= 1e9) return " of " + to_text(least) + " or more";
    return " from " + to_text(least) + " to " + to_text(most);
  }
  bool has_members(const std::string& path) const {
    const auto next = values_.lower_bound(path + ".");
    return next != values_.end() && next->first.rfind(path + ".", 0) == 0;
  }
  const SettingValues& values_;
};

RequestClass read_class(const SettingReader& reader, const std::string& prefix) {
  RequestClass out;
  out.latency_objective = reader.integer<Time>(prefix + "AimUs", 0);
  out.deadline = reader.integer<Time>(prefix + "HardLimitUs", 0);
  out.priority_weight = reader.number(prefix + "Worth", 1);
  out.idempotency_window = reader.integer<Time>(prefix + "WindowUs", 0);
  const char* const effects = "safe, keyed or unsafe";
  const std::string_view effect = reader.text(prefix + "Effect", effects);
  if (effect == "safe") {
    out.effect = Effect::safe;
  } else if (effect == "keyed") {
    out.effect = Effect::keyed;
  } else if (effect == "unsafe") {
    out.effect = Effect::unsafe;
  } else {
    reader.reject(prefix + "Effect", effect, effects);
  }
  const char* const groups = "all, zone or cell";
  const std::string_view group = reader.text(prefix + "Group", groups);
  if (group == "zone") {
    out.group = Group::zone;
  } else if (group == "cell") {
    out.group = Group::cell;
  } else if (!group.empty() && group != "all" && group != "-") {
    reader.reject(prefix + "Group", group, groups);
  }
  return out;
}

}  // namespace

std::optional<double> to_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::uint32_t index_of(const std::vector<std::string>& names, std::string_view name) {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == name) return static_cast<std::uint32_t>(i);
  return kNone;
}

std::uint64_t hash_name(std::string_view name) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char c : name) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3U;
  }
  return hash;
}

Settings read_settings(const SettingValues& values) {
  Settings out;
  const SettingReader reader(values);
  Names& names = out.names;
  for (const char* parent : {"FamilyInfo", "PolicyLimits", "Costs", "Guarantees"})
    reader.require_object(parent);
  names.zones = split(reader.text("Zones"), ',');
  names.kinds = split(reader.text("Shapes"), ',');

  Config& config = out.config;
  config.zone = index_of(names.zones, reader.text("Az"));
  config.cache_aside = reader.text("FamilyInfo.Mode") == "aside";
  const double origin = reader.number("FamilyInfo.OriginKind", -1, -1, 1e9);
  if (origin >= 0) config.origin_kind = static_cast<std::uint32_t>(origin);
  config.routers = std::max(1U, reader.integer<std::uint32_t>("Balancers", 1));
  config.max_attempts = std::max(1U, reader.integer<std::uint32_t>("PolicyLimits.MaxAttempts", 1));
  config.can_cancel = reader.yes("PolicyLimits.Cancelling");
  config.can_hedge = reader.yes("PolicyLimits.SecondCopies");
  config.max_retry_after =
      reader.yes("PolicyLimits.RetryAfter") ? reader.integer<Time>("PolicyLimits.MaxRetryAfterUs", 0) : 0;
  config.connect_timeout = reader.integer<Time>("PolicyLimits.DialTimeoutUs", 0);
  config.keep_alive = reader.integer<Time>("PolicyLimits.KeepaliveUs", 0);
  config.connection_cost = reader.number("Costs.Connection", 0);
  config.handshake_cost = reader.number("Costs.Handshake", 0);
  config.polls_discovery = reader.text("RegistryMode") == "ask";
  config.answer_slack = reader.integer<Time>("Guarantees.AnswerSlackUs", 0);
  config.slow_start_initial_share =
      reader.number("Guarantees.ColdShare", 1, std::numeric_limits<double>::min(), 1);
  config.slow_start_duration = reader.integer<Time>("Guarantees.ColdUs", 0);
  config.slow_start_overload_factor = reader.number("Guarantees.OverloadFactor", 0);
  config.slow_start_overload_window =
      reader.integer<Time>("Guarantees.TipAfterUs", config.slow_start_overload_window, 1);
  out.peer_messages_allowed = reader.yes("PolicyLimits.PeerMessages");
  out.router_index = reader.integer<std::uint32_t>("Me", 0);
  out.drain_grace = reader.integer<Time>("Guarantees.StopSendingWithinUs", 0);

  const auto classes = reader.list_length("Profiles");
  for (std::uint32_t i = 0; i < classes; ++i) {
    const std::string prefix = "Profiles." + std::to_string(i) + ".";
    config.classes.push_back(read_class(reader, prefix));
    config.classes.back().max_attempts = config.max_attempts;
    names.classes.emplace_back(reader.text(prefix + "Name"));
    names.keyed.push_back(config.classes.back().effect == Effect::keyed);
  }
  const auto tenants = reader.list_length("Tenants");
  for (std::uint32_t i = 0; i < tenants; ++i) {
    const std::string prefix = "Tenants." + std::to_string(i) + ".";
    config.tenants.push_back({reader.number(prefix + "QuotaPerS", 0)});
    names.tenants.emplace_back(reader.text(prefix + "Name"));
  }
  return out;
}

void check_usable(const SettingValues& values, const Settings& settings) {
  const SettingReader reader(values);
  const Config& config = settings.config;
  if (config.cache_aside && config.origin_kind == kNone)
    reader.reject("FamilyInfo.OriginKind", reader.text("FamilyInfo.OriginKind"),
                  "the index of the origin's kind in Shapes");
  if (config.classes.empty()) reader.reject("Profiles", "", "a list of at least one class");
  for (std::size_t i = 0; i < config.classes.size(); ++i) {
    const std::string prefix = "Profiles." + std::to_string(i) + ".";
    for (const char* time : {"AimUs", "HardLimitUs"})
      if (reader.integer<Time>(prefix + time, 0, 1) > kMaxClassTime)
        reader.reject(prefix + time, reader.text(prefix + time), "a day at most, in microseconds");
  }
  reader.integer<std::uint32_t>("PolicyLimits.MaxAttempts", 1, 1);
}

}  // namespace streampick
