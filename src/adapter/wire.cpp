#include "adapter/wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>
#include <optional>

namespace streampick::wire {
namespace {

std::optional<std::int64_t> to_integer(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

void append_hex(std::string& out, std::uint64_t value) {
  constexpr std::string_view digits = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4) out += digits[(value >> shift) & 15U];
}

void append_integer(std::string& out, std::int64_t value) {
  std::array<char, 24> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  out.append(text.data(), end);
}

void append_call(std::string& out, std::string_view name, RequestId request) {
  out += name;
  out += ' ';
  append_hex(out, request);
}

// Validates the format of a load report. Its values are not used for decisions; docs/design.md gives the
// reason.
void check_load(const Fields& fields, std::string_view text) {
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) fields.reject("Usage", pair);
    const auto value = to_number(pair.substr(colon + 1));
    if (!value || !std::isfinite(*value)) fields.reject("Usage", pair);
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
  }
}

}  // namespace

ParseError::ParseError(std::size_t line, std::string_view field, std::string_view text)
    : std::runtime_error("line " + std::to_string(line) + ": invalid " + std::string(field) + ": '" +
                         std::string(text.substr(0, 80)) + "'") {}

void Fields::reject(std::string_view field, std::string_view text) const {
  throw ParseError(line_, field, text);
}

std::string_view Fields::word_or_absent(std::string_view) {
  const std::size_t end = rest_.find(' ');
  const std::string_view out = rest_.substr(0, end);
  rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
  return out == "-" ? std::string_view{} : out;
}

std::string_view Fields::word(std::string_view field) {
  const std::string_view out = word_or_absent(field);
  if (out.empty()) reject(field, out);
  return out;
}

std::int64_t Fields::integer(std::string_view field) {
  const std::string_view text = word(field);
  const auto value = to_integer(text);
  if (!value) reject(field, text);
  return *value;
}

std::int64_t Fields::integer_or(std::string_view field, std::int64_t absent) {
  const std::string_view text = word_or_absent(field);
  if (text.empty()) return absent;
  const auto value = to_integer(text);
  if (!value) reject(field, text);
  return *value;
}

double Fields::number_or(std::string_view field, double absent) {
  const std::string_view text = word_or_absent(field);
  if (text.empty()) return absent;
  const auto value = to_number(text);
  if (!value) reject(field, text);
  return *value;
}

std::uint64_t Fields::hex(std::string_view field) {
  const std::string_view text = word(field);
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc{} || end != text.data() + text.size() || text.size() != 16) reject(field, text);
  return value;
}

bool Fields::flag_or_false(std::string_view field) { return integer_or(field, 0) != 0; }

Event parse_event(Fields& fields) {
  constexpr std::array<std::string_view, 13> names = {
      "turn",        "on",        "init",          "exit",         "members",   "inbound",    "streaming",
      "report_back", "withdrawn", "timeout_fired", "check_result", "peer_data", "over_to_you"};
  const std::string_view name = fields.word("message");
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) fields.reject("message", name);
  return static_cast<Event>(found - names.begin());
}

Settings parse_init(Fields& fields) {
  const auto seed = static_cast<std::uint64_t>(fields.integer("Salt"));
  SettingValues values;
  for (std::string_view rest = fields.rest(); !rest.empty();) {
    const std::size_t end = rest.find(' ');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) fields.reject("Info", pair);
    values.emplace(pair.substr(0, equals), pair.substr(equals + 1));
    if (end == std::string_view::npos) break;
    rest.remove_prefix(end + 1);
  }
  try {
    Settings out = read_settings(values);
    out.seed = seed;
    return out;
  } catch (const SettingsError& error) {
    fields.reject(error.path(), error.text());
  }
}

MembersHead parse_members(Fields& fields) {
  MembersHead out;
  const std::string_view scope = fields.word("Scope");
  if (scope == "D") {
    out.update = Update::changes;
  } else if (scope == "F") {
    out.update = Update::full;
  } else if (scope == "C") {
    out.update = Update::full;
    out.discovery = DiscoveryStatus::not_polled;
  } else if (scope == "X") {
    out.discovery = DiscoveryStatus::failed;
  } else {
    fields.reject("Scope", scope);
  }
  fields.integer_or("Rev", 0);
  out.entries = fields.integer_or("Entries", 0);
  if (out.entries < 0) fields.reject("Entries", std::to_string(out.entries));
  return out;
}

MemberLine parse_member(Fields& fields, const Names& names) {
  if (const std::string_view mark = fields.word("entry"); mark != "m") fields.reject("entry", mark);
  MemberLine out;
  out.server = fields.word("Server");
  out.member.identity = hash_name(out.server);
  out.member.zone = index_of(names.zones, fields.word_or_absent("RackZone"));
  out.member.kind = index_of(names.kinds, fields.word_or_absent("Shape"));
  out.member.cell = static_cast<std::uint32_t>(fields.integer_or("Cluster", 0));
  const std::string_view phase = fields.word("Phase");
  if (phase == "cordoned") {
    out.member.phase = Phase::draining;
  } else if (phase == "deregistered") {
    out.member.phase = Phase::gone;
  } else if (phase != "healthy") {
    fields.reject("Phase", phase);
  }
  out.member.weight = fields.number_or("Nominal", 1);
  out.member.started = fields.integer_or("ReadyAtUs", 0);
  return out;
}

Request parse_inbound(Fields& fields, const Names& names) {
  Request out;
  out.id = fields.hex("RequestId");
  const std::string_view name = fields.word("Priority");
  out.request_class = index_of(names.classes, name);
  if (out.request_class == kNone) fields.reject("Priority", name);
  out.tenant = index_of(names.tenants, fields.word_or_absent("Tenant"));
  Fields after = fields;
  out.has_key = !after.word_or_absent("NameKey").empty();
  if (out.has_key) {
    out.key = fields.hex("NameKey");
  } else {
    fields = after;
  }
  out.deadline = fields.integer("NotAfterUs");
  out.cost_hint = fields.integer_or("WorkHintUs", 0);
  fields.number_or("ObjectSize", 0);
  const auto flags = static_cast<std::uint64_t>(fields.integer_or("Flags", 0));
  if ((flags & 1U) == 0) out.cost_hint = 0;
  out.write = (flags & 4U) != 0;
  return out;
}

ResultLine parse_report_back(Fields& fields) {
  ResultLine out;
  AttemptResult& result = out.result;
  result.request = fields.hex("RequestId");
  result.attempt = static_cast<std::uint32_t>(fields.integer("RoundNo"));
  out.server = fields.word("Server");
  const std::int64_t code = fields.integer("Result");
  switch (code) {
    case 0: result.outcome = Outcome::served; break;
    case 2: result.outcome = Outcome::miss; break;
    case 5: result.outcome = Outcome::error; break;
    case 11: result.outcome = Outcome::overloaded; break;
    case 104: result.outcome = Outcome::reset; break;
    case 110: result.outcome = Outcome::timeout; break;
    case 111: result.outcome = Outcome::connect_failed; break;
    case 114: result.outcome = Outcome::not_sent; break;
    case 125: result.outcome = Outcome::cancelled; break;
    default: fields.reject("Result", std::to_string(code));
  }
  result.duration = fields.integer_or("TookUs", 0);
  result.request_over = fields.flag_or_false("NoMore");
  fields.integer_or("Detail", 0);
  check_load(fields, fields.word_or_absent("Usage"));
  return out;
}

void write_for(std::string& out, std::int64_t instance) {
  out += "for ";
  append_integer(out, instance);
  out += '\n';
}

void write_hand_off(std::string& out, RequestId request, std::string_view server, Time timeout) {
  append_call(out, "hand_off", request);
  out += ' ';
  out += server;
  out += ' ';
  append_integer(out, timeout);
  out += '\n';
}

void write_recall(std::string& out, RequestId request, std::uint32_t attempt) {
  append_call(out, "recall", request);
  out += ' ';
  append_integer(out, attempt);
  out += '\n';
}

void write_refuse(std::string& out, RequestId request, Time retry_after) {
  append_call(out, "refuse", request);
  out += ' ';
  append_integer(out, retry_after);
  out += '\n';
}

void write_end_failed(std::string& out, RequestId request) {
  append_call(out, "end_failed", request);
  out += '\n';
}

void write_defer(std::string& out, Time delay, std::string_view tag) {
  out += "defer ";
  append_integer(out, delay);
  out += ' ';
  out += tag;
  out += '\n';
}

void write_disconnect(std::string& out, std::string_view server) {
  out += "disconnect ";
  out += server;
  out += '\n';
}

void write_follow(std::string& out) { out += "follow 1\n"; }

void write_ack(std::string& out) { out += "ack\n"; }

}  // namespace streampick::wire
