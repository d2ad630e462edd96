// The commands that the router knows, and what each means to it. No I/O.
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

// One row of the table. Names, arity and groups are as the commands' own documentation has them.
struct Command {
  enum class Kind : std::uint8_t { local, read, write };
  enum class Gather : std::uint8_t { one, list, sum };       // how the parts' answers become one reply
  enum class Miss : std::uint8_t { null, zero, minus_two };  // how a key that nobody has is spelled
  enum class Reply : std::uint8_t { value, length, present, count, done };

  std::string_view name;
  int arity = 0;  // with the name; negative: at least so many
  Kind kind = Kind::local;
  Gather gather = Gather::one;
  Miss miss = Miss::null;
  Reply reply = Reply::value;
  bool plain = false;  // servers of any protocol can answer it; others need a server that speaks RESP
  std::string_view group, summary;
};

std::span<const Command> commands();
const Command* find_command(std::string_view name);  // in any case; none: not known

// What a client says of one command, beside the command. Empty or 0: not told.
struct Told {
  std::string id;  // 16 hex digits
  std::string idempotency_key;
  std::string tenant;
  Time deadline = 0;  // microseconds from now on
};

// One key's share of a command: it becomes one request of the engine.
struct Part {
  Operation operation = Operation::read;
  std::string key, body;
  std::vector<std::string> words;
};

struct Plan {
  const Command* command = nullptr;
  std::vector<Part> parts;         // none: the command is local
  std::vector<std::string> words;  // of a local command, its name first
  Told told;
  std::string error;  // not empty: the command is turned away with it, and nothing ran
};

struct TableSettings {
  bool cache_aside = false;  // values have one source, and the caches hold copies
  bool plain_only = false;   // some server does not speak RESP
  std::size_t most_keys = 256;
  std::size_t longest_key = 512;
};

// Reads one command as a client sent it; attributes before it tell what ROUTE would.
Plan plan(Value command, const TableSettings& settings);

// The reply to one part, and to a whole command once all of its parts have ended. `parts` holds a part's
// answer each, in the command's order.
// `has_key`: the client told a KEY, so that its own repeat can be told from another write.
Value spell(const Command& command, engine::Response reply, bool has_key = false);
Value gather(const Command& command, std::vector<Value> parts);

// COMMAND, COMMAND COUNT, COMMAND DOCS [name ...]: `words` begins with COMMAND.
Value describe(std::span<const std::string> words);

std::string upper(std::string_view text);
// With '?' for what is not plain ASCII: for error texts and the log.
std::string printable(std::string_view text);

}  // namespace streampick::resp
