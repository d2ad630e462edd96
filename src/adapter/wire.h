// Parser and writer for the text protocol between a host process and its routers. Each message is a line of
// text. The parser is strict about the fields that it uses; an error names the line and the rejected field.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"
#include "streampick/router.h"

namespace streampick::wire {

// Invalid input. The message names the line, the field and the rejected text.
class ParseError : public std::runtime_error {
 public:
  ParseError(std::size_t line, std::string_view field, std::string_view text);
};

// The space-separated fields of one line. Each call removes the leftmost field; its argument is the name of
// the field in error messages.
class Fields {
 public:
  Fields(std::string_view line, std::size_t number) : rest_(line), line_(number) {}

  std::string_view word(std::string_view field);
  std::string_view word_or_absent(std::string_view field);  // empty for '-' or at the end of the line
  std::int64_t integer(std::string_view field);
  std::int64_t integer_or(std::string_view field, std::int64_t absent);
  double number_or(std::string_view field, double absent);
  std::uint64_t hex(std::string_view field);  // exactly 16 hexadecimal digits
  bool flag_or_false(std::string_view field);
  std::string_view rest() { return rest_; }
  // Throws ParseError for this line.
  [[noreturn]] void reject(std::string_view field, std::string_view text) const;

 private:
  std::string_view rest_;
  std::size_t line_;
};

// The messages from the host, in the order of the names in parse_event().
enum class Event : std::uint8_t {
  turn,
  on,
  init,
  exit,
  members,
  inbound,
  streaming,
  report_back,
  withdrawn,
  timeout_fired,
  check_result,
  peer_data,
  over_to_you,
};
Event parse_event(Fields& fields);

using streampick::hash_name;
using streampick::Names;
using streampick::Settings;

Settings parse_init(Fields& fields);

// The first line of a member list; `entries` further lines follow.
struct MembersHead {
  DiscoveryStatus discovery = DiscoveryStatus::answered;
  std::optional<Update> update;  // empty: the list stays as it was
  std::int64_t entries = 0;
};
MembersHead parse_members(Fields& fields);

struct MemberLine {
  std::string_view server;
  Member member;  // the caller sets the id
};
MemberLine parse_member(Fields& fields, const Names& names);

Request parse_inbound(Fields& fields, const Names& names);

struct ResultLine {
  std::string_view server;
  AttemptResult result;  // the caller sets the server
};
ResultLine parse_report_back(Fields& fields);

void write_for(std::string& out, std::int64_t instance);
void write_hand_off(std::string& out, RequestId request, std::string_view server, Time timeout);
void write_recall(std::string& out, RequestId request, std::uint32_t attempt);
void write_refuse(std::string& out, RequestId request, Time retry_after);
void write_end_failed(std::string& out, RequestId request);
void write_defer(std::string& out, Time delay, std::string_view tag);
void write_disconnect(std::string& out, std::string_view server);
void write_follow(std::string& out);
void write_ack(std::string& out);

}  // namespace streampick::wire
