#include "roster/etcd/seed.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

#include "engine/keys.h"
#include "roster/members.h"
#include "settings/json_value.h"

namespace streampick::etcd {
namespace {

constexpr std::string_view kMagic = "streampick-roster 1 ";
constexpr std::size_t kChecksumSize = 16;
constexpr Time kMicrosecondsInMillisecond = 1'000;

std::string checksum_of(const std::string& text) {
  return engine::hex(XXH3_64bits(text.data(), text.size()));
}

std::string name_at(const std::vector<std::string>& names, std::uint32_t index) {
  return index < names.size() ? names[index] : std::string();
}

nlohmann::json to_json(const engine::ListedEndpoint& endpoint, const Names& names) {
  const Member& member = endpoint.member;
  return {{"id", endpoint.id},
          {"host_port", endpoint.address},
          {"locality", name_at(names.zones, member.zone)},
          {"flavor", name_at(names.kinds, member.kind)},
          {"cell", member.cell},
          {"phase", member.phase == Phase::draining ? "terminating" : "in_service"},
          {"size", member.weight},
          {"up_since_ms", member.started / kMicrosecondsInMillisecond}};
}

std::optional<long long> parse_number(std::string_view text) {
  long long number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || parsed_to != end) return std::nullopt;
  return number;
}

}  // namespace

std::string encode_seed(const engine::EndpointList& list, const Names& names, long long unix_ms) {
  nlohmann::json document = {
      {"revision", list.revision}, {"complete", true}, {"members", nlohmann::json::array()}};
  for (const engine::ListedEndpoint& endpoint : list.members)
    if (endpoint.member.phase != Phase::gone) document["members"].push_back(to_json(endpoint, names));
  const std::string content = std::to_string(unix_ms) + "\n" + document.dump() + "\n";
  return std::string(kMagic) + checksum_of(content) + " " + content;
}

std::variant<engine::StoredEndpointList, SeedError> decode_seed(const std::string& text, const Names& names,
                                                                long long unix_ms,
                                                                std::chrono::milliseconds max_age) {
  using Kind = SeedError::Kind;
  constexpr std::size_t kHeaderSize = kMagic.size() + kChecksumSize + 1;
  if (text.size() > kMaxSeedSize || text.size() < kHeaderSize || !text.starts_with(kMagic))
    return SeedError{Kind::no_seed, "it is not a roster of format version 1"};
  const std::string content = text.substr(kHeaderSize);
  if (text.compare(kMagic.size(), kChecksumSize + 1, checksum_of(content) + " ") != 0)
    return SeedError{Kind::wrong_checksum, "its checksum does not match"};
  const std::size_t line_end = content.find('\n');
  const auto written_ms = parse_number(std::string_view(content).substr(0, line_end));
  if (line_end == std::string::npos || !written_ms)
    return SeedError{Kind::malformed_time, "its time of writing is malformed"};
  const std::chrono::milliseconds age(unix_ms - *written_ms);
  if (age > max_age) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age);
    return SeedError{Kind::too_old, "it is " + std::to_string(seconds.count()) + " s old"};
  }
  try {
    engine::StoredEndpointList stored{discovery::parse_members(content.substr(line_end + 1), names)};
    stored.list.complete = true;
    return stored;
  } catch (const JsonError& error) {
    return SeedError{Kind::malformed_list, error.what()};
  }
}

}  // namespace streampick::etcd
