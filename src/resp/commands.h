// The RESP commands that the router supports, and how each maps to requests of the engine. No I/O.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "engine/downstream.h"
#include "resp/value.h"

namespace streampick::resp {

using engine::Operation;

// One row of the command table. Names, arity and groups follow the Redis command documentation.
struct Command {
  enum class Kind : std::uint8_t { local, read, write };
  enum class Combine : std::uint8_t { one, list, sum };      // how the replies to the parts are combined
  enum class Miss : std::uint8_t { null, zero, minus_two };  // the reply for a key that does not exist
  enum class Reply : std::uint8_t { value, length, present, count, done };

  std::string_view name;
  int arity = 0;  // argument count including the name; negative: a minimum
  Kind kind = Kind::local;
  Combine combine = Combine::one;
  Miss miss = Miss::null;
  Reply reply = Reply::value;
  bool any_protocol = false;  // servers of any protocol can answer it; else only RESP servers can
  std::string_view group, summary;
};

std::span<const Command> commands();
const Command* find_command(std::string_view name);  // ignores case; nullptr: unknown command

// Options that a client attaches to one command by ROUTE or by attributes. Empty or 0: not given.
struct RequestOptions {
  std::string id;  // 16 hex digits
  std::string idempotency_key;
  std::string tenant;
  Time deadline = 0;  // microseconds from the arrival of the command
};

// The part of a command that concerns one key. Each part becomes one request of the engine.
struct Part {
  Operation operation = Operation::read;
  std::string key, body;
  std::vector<std::string> words;
};

struct ParsedCommand {
  const Command* command = nullptr;
  std::vector<Part> parts;         // empty: the router answers the command itself
  std::vector<std::string> words;  // of a command that the router answers itself, starting with its name
  RequestOptions options;
  std::string error;  // if not empty, the command is rejected with this error and nothing runs
};

struct TableSettings {
  bool cache_aside = false;        // values are stored at an origin, and caches hold copies
  bool any_protocol_only = false;  // at least one server does not speak RESP
  std::size_t most_keys = 256;
  std::size_t longest_key = 512;
};

// Parses one command of a client. Attributes before the command have the same meaning as options of ROUTE.
ParsedCommand parse_command(Value command, const TableSettings& settings);

// The reply to one part of a command. `has_key`: the client sent an idempotency key (KEY), so servers
// recognize a repeat of the same write.
Value reply_to_part(const Command& command, engine::Response reply, bool has_key = false);
// Combines the replies to all parts of a command, in the order of the parts, into the reply to the command.
Value combine(const Command& command, std::vector<Value> parts);

// The reply to COMMAND, COMMAND COUNT, COMMAND DOCS [name ...] or COMMAND INFO [name ...]. `words` starts
// with COMMAND.
Value describe(std::span<const std::string> words);

std::string upper(std::string_view text);
// Replaces each byte that is not printable ASCII by '?', for error texts and the log.
std::string printable(std::string_view text);

}  // namespace streampick::resp
