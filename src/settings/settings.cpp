#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace streampick {
namespace {

constexpr Time kLongestTime = 86'400'000'000;  // us

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

class Pairs {
 public:
  explicit Pairs(const SettingValues& values) : values_(values) {}

  std::string_view text(const std::string& path, const char* expected = "a text") const {
    const auto found = values_.find(path);
    if (found != values_.end()) return found->second;
    if (has_inner(path)) reject(path, "an object or a list of them", expected);
    return {};
  }
  // A number of `least` to `most`.
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
  // A plain value where others stand below would hide them all.
  void group(const std::string& path) const {
    const auto found = values_.find(path);
    if (found != values_.end() && !found->second.empty() && found->second != "-")
      reject(path, found->second, "an object");
  }
  // The length of a list of objects.
  std::uint32_t list(const std::string& path) const {
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
  static std::string plain(double value) {
    char out[32];
    return {out, std::to_chars(out, out + sizeof out, value).ptr};
  }
  static std::string bounds(double least, double most) {
    if (most >= 1e9) return " of " + plain(least) + " or more";
    return " from " + plain(least) + " to " + plain(most);
  }
  bool has_inner(const std::string& path) const {
    const auto next = values_.lower_bound(path + ".");
    return next != values_.end() && next->first.rfind(path + ".", 0) == 0;
  }
  const SettingValues& values_;
};

RequestClass read_class(const Pairs& pairs, const std::string& at) {
  RequestClass out;
  out.latency_objective = pairs.integer<Time>(at + "AimUs", 0);
  out.deadline = pairs.integer<Time>(at + "HardLimitUs", 0);
  out.priority_weight = pairs.number(at + "Worth", 1);
  out.idempotency_window = pairs.integer<Time>(at + "WindowUs", 0);
  const char* const effects = "safe, keyed or unsafe";
  const std::string_view effect = pairs.text(at + "Effect", effects);
  if (effect == "safe") {
    out.effect = Effect::safe;
  } else if (effect == "keyed") {
    out.effect = Effect::keyed;
  } else if (effect == "unsafe") {
    out.effect = Effect::unsafe;
  } else {
    pairs.reject(at + "Effect", effect, effects);
  }
  const char* const groups = "all, zone or cell";
  const std::string_view group = pairs.text(at + "Group", groups);
  if (group == "zone") {
    out.group = Group::zone;
  } else if (group == "cell") {
    out.group = Group::cell;
  } else if (!group.empty() && group != "all" && group != "-") {
    pairs.reject(at + "Group", group, groups);
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
  const Pairs pairs(values);
  Names& names = out.names;
  for (const char* parent : {"FamilyInfo", "PolicyLimits", "Costs", "Guarantees"}) pairs.group(parent);
  names.zones = split(pairs.text("Zones"), ',');
  names.kinds = split(pairs.text("Shapes"), ',');

  Config& config = out.config;
  config.zone = index_of(names.zones, pairs.text("Az"));
  config.cache_aside = pairs.text("FamilyInfo.Mode") == "aside";
  const double origin = pairs.number("FamilyInfo.OriginKind", -1, -1, 1e9);
  if (origin >= 0) config.origin_kind = static_cast<std::uint32_t>(origin);
  config.routers = std::max(1U, pairs.integer<std::uint32_t>("Balancers", 1));
  config.max_attempts = std::max(1U, pairs.integer<std::uint32_t>("PolicyLimits.MaxAttempts", 1));
  config.can_cancel = pairs.yes("PolicyLimits.Cancelling");
  config.can_hedge = pairs.yes("PolicyLimits.SecondCopies");
  config.max_retry_after =
      pairs.yes("PolicyLimits.RetryAfter") ? pairs.integer<Time>("PolicyLimits.MaxRetryAfterUs", 0) : 0;
  config.connect_timeout = pairs.integer<Time>("PolicyLimits.DialTimeoutUs", 0);
  config.keep_alive = pairs.integer<Time>("PolicyLimits.KeepaliveUs", 0);
  config.connection_cost = pairs.number("Costs.Connection", 0);
  config.handshake_cost = pairs.number("Costs.Handshake", 0);
  config.polls_discovery = pairs.text("RegistryMode") == "ask";
  config.answer_slack = pairs.integer<Time>("Guarantees.AnswerSlackUs", 0);
  config.slow_start_initial_share =
      pairs.number("Guarantees.ColdShare", 1, std::numeric_limits<double>::min(), 1);
  config.slow_start_duration = pairs.integer<Time>("Guarantees.ColdUs", 0);
  config.slow_start_overload_factor = pairs.number("Guarantees.OverloadFactor", 0);
  config.slow_start_overload_window =
      pairs.integer<Time>("Guarantees.TipAfterUs", config.slow_start_overload_window, 1);
  out.may_talk = pairs.yes("PolicyLimits.PeerMessages");
  out.me = pairs.integer<std::uint32_t>("Me", 0);
  out.drain_grace = pairs.integer<Time>("Guarantees.StopSendingWithinUs", 0);

  const auto classes = pairs.list("Profiles");
  for (std::uint32_t i = 0; i < classes; ++i) {
    const std::string at = "Profiles." + std::to_string(i) + ".";
    config.classes.push_back(read_class(pairs, at));
    config.classes.back().max_attempts = config.max_attempts;
    names.classes.emplace_back(pairs.text(at + "Name"));
    names.keyed.push_back(config.classes.back().effect == Effect::keyed);
  }
  const auto tenants = pairs.list("Tenants");
  for (std::uint32_t i = 0; i < tenants; ++i) {
    const std::string at = "Tenants." + std::to_string(i) + ".";
    config.tenants.push_back({pairs.number(at + "QuotaPerS", 0)});
    names.tenants.emplace_back(pairs.text(at + "Name"));
  }
  return out;
}

void check_usable(const SettingValues& values, const Settings& settings) {
  const Pairs pairs(values);
  const Config& config = settings.config;
  if (config.cache_aside && config.origin_kind == kNone)
    pairs.reject("FamilyInfo.OriginKind", pairs.text("FamilyInfo.OriginKind"),
                 "the place of the origin's kind in Shapes");
  if (config.classes.empty()) pairs.reject("Profiles", "", "a list of at least one class");
  for (std::size_t i = 0; i < config.classes.size(); ++i) {
    const std::string at = "Profiles." + std::to_string(i) + ".";
    for (const char* time : {"AimUs", "HardLimitUs"})
      if (pairs.integer<Time>(at + time, 0, 1) > kLongestTime)
        pairs.reject(at + time, pairs.text(at + time), "a day at most, in microseconds");
  }
  pairs.integer<std::uint32_t>("PolicyLimits.MaxAttempts", 1, 1);
}

}  // namespace streampick
