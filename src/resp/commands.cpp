#include "resp/commands.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace streampick::resp {
namespace {

using K = Command::Kind;
using G = Command::Combine;
using M = Command::Miss;
using R = Command::Reply;

constexpr std::array<Command, 25> kCommands = {{
    {"GET", 2, K::read, G::one, M::null, R::value, true, "string", "The value of a key"},
    {"MGET", -2, K::read, G::list, M::null, R::value, true, "string", "The values of several keys"},
    {"STRLEN", 2, K::read, G::one, M::zero, R::length, true, "string", "The length of a key's value"},
    {"EXISTS", -2, K::read, G::sum, M::zero, R::present, true, "generic", "How many of the keys exist"},
    {"TTL", 2, K::read, G::one, M::minus_two, R::count, false, "generic", "Seconds until a key expires"},
    {"PTTL", 2, K::read, G::one, M::minus_two, R::count, false, "generic", "Milliseconds until it expires"},
    {"TOUCH", -2, K::read, G::sum, M::zero, R::count, false, "generic", "Marks keys as used"},
    {"SET", -3, K::write, G::one, M::null, R::done, true, "string", "Sets the value of a key"},
    {"GETDEL", 2, K::write, G::one, M::null, R::value, false, "string",
     "The value of a key, which it removes"},
    {"GETSET", 3, K::write, G::one, M::null, R::value, false, "string",
     "Sets a key and returns what it held"},
    {"SETNX", 3, K::write, G::one, M::zero, R::count, false, "string", "Sets a key that does not exist"},
    {"DEL", -2, K::write, G::sum, M::zero, R::count, false, "generic", "Removes keys"},
    {"UNLINK", -2, K::write, G::sum, M::zero, R::count, false, "generic",
     "Removes keys, later in the background"},
    {"HELLO", -1, K::local, G::one, M::null, R::value, true, "connection", "Agrees on the protocol"},
    {"AUTH", -2, K::local, G::one, M::null, R::value, true, "connection", "Tells who the client is"},
    {"PING", -1, K::local, G::one, M::null, R::value, true, "connection", "Asks for a sign of life"},
    {"ECHO", 2, K::local, G::one, M::null, R::value, true, "connection", "Returns its argument"},
    {"QUIT", -1, K::local, G::one, M::null, R::value, true, "connection", "Closes the connection"},
    {"RESET", 1, K::local, G::one, M::null, R::value, true, "connection", "Makes the connection as new"},
    {"SELECT", 2, K::local, G::one, M::null, R::value, true, "connection", "Database 0 is the only one"},
    {"CLIENT", -2, K::local, G::one, M::null, R::value, true, "connection", "About this connection"},
    {"COMMAND", -1, K::local, G::one, M::null, R::value, true, "server", "About the commands known here"},
    {"INFO", -1, K::local, G::one, M::null, R::value, true, "server", "What kind of server this is"},
    {"DEADLINE", 2, K::local, G::one, M::null, R::value, true, "router",
     "The patience, in milliseconds, of this connection's further commands; 0: its class's"},
    {"ROUTE", -4, K::local, G::one, M::null, R::value, true, "router",
     "A command with its ID, DEADLINE, KEY (idempotency) or TENANT"},
}};

std::optional<std::int64_t> to_count(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0) return std::nullopt;
  return value;
}

bool is_id(std::string_view text) {
  return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

constexpr std::int64_t kMaxDeadlineMs = 86'400'000;

// Sets one option. Returns an error text, or an empty string on success.
std::string set_option(RequestOptions& options, std::string_view name, const std::string& value) {
  if (name == "ID") {
    if (!is_id(value)) return "ERR ID must be 16 hex digits";
    options.id = value;
  } else if (name == "DEADLINE") {
    const auto ms = to_count(value);
    if (!ms || *ms == 0 || *ms > kMaxDeadlineMs)
      return "ERR DEADLINE must be a number of milliseconds, above 0";
    options.deadline = *ms * 1000;
  } else if (name == "KEY") {
    // Servers of other protocols receive the key in a line of text, such as an HTTP header.
    const bool is_printable =
        std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < 127; });
    if (value.empty() || value.size() > 128 || !is_printable)
      return "ERR KEY must be 1 to 128 printable characters";
    options.idempotency_key = value;
  } else if (name == "TENANT") {
    options.tenant = value;
  } else {
    return "ERR unknown option of ROUTE";
  }
  return {};
}

bool is_request_option(std::string_view name) {
  return name == "ID" || name == "DEADLINE" || name == "KEY" || name == "TENANT";
}

std::string read_attributes(RequestOptions& options, const std::vector<Value>& attributes) {
  for (std::size_t i = 0; i + 1 < attributes.size(); i += 2) {
    const Value& value = attributes[i + 1];
    if (!attributes[i].is_text()) continue;
    const std::string name = upper(attributes[i].text);
    if (!is_request_option(name)) continue;  // attributes with other names are ignored
    const std::string text = value.type == Type::number ? std::to_string(value.number) : value.text;
    if (std::string error = set_option(options, name, text); !error.empty()) return error;
  }
  return {};
}

// Removes ROUTE and its options from `words`, so that the command remains. Returns an error text or "".
std::string read_route(RequestOptions& options, std::vector<std::string>& words) {
  std::size_t at = 1;
  while (at + 1 < words.size()) {
    const std::string name = upper(words[at]);
    if (!is_request_option(name)) break;
    if (std::string error = set_option(options, name, words[at + 1]); !error.empty()) return error;
    at += 2;
  }
  words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(at));
  if (words.empty()) return "ERR ROUTE holds no command";
  if (upper(words.front()) == "ROUTE") return "ERR ROUTE within ROUTE";
  return {};
}

// Checks the options of SET. Returns an error text, or an empty string if the options are valid.
std::string check_set(const std::vector<std::string>& words, const TableSettings& settings, bool& expires) {
  bool nx = false, xx = false;
  expires = false;
  for (std::size_t i = 3; i < words.size(); ++i) {
    const std::string option = upper(words[i]);
    if (option == "NX") {
      nx = true;
    } else if (option == "XX") {
      xx = true;
    } else if (option == "KEEPTTL") {
      if (std::exchange(expires, true)) return "ERR syntax error";
    } else if (option == "EX" || option == "PX" || option == "EXAT" || option == "PXAT") {
      if (std::exchange(expires, true) || ++i >= words.size()) return "ERR syntax error";
      const auto time = to_count(words[i]);
      if (!time || *time == 0) return "ERR invalid expire time in 'set' command";
    } else if (option != "GET") {
      return "ERR syntax error";
    }
  }
  if (nx && xx) return "ERR syntax error";
  // A cache would serve its copy after the origin has expired the value.
  if (expires && settings.cache_aside)
    return "ERR an expiry can't be kept here: caches hold copies that would outlive it";
  if (settings.any_protocol_only && words.size() > 3)
    return "ERR the options of SET need servers that speak RESP, which not all do here";
  return {};
}

void add_part(ParsedCommand& out, Operation operation, std::string key, std::vector<std::string> words,
              std::string body = {}) {
  out.parts.push_back({operation, std::move(key), std::move(body), std::move(words)});
}

}  // namespace

std::string upper(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    if (c >= 'a' && c <= 'z') c = static_cast<char>(c - 'a' + 'A');
  return out;
}

std::string printable(std::string_view text) {
  std::string out(text);
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
  return out;
}

std::span<const Command> commands() { return kCommands; }

const Command* find_command(std::string_view name) {
  const std::string is_wanted = upper(name);
  const auto found = std::find_if(kCommands.begin(), kCommands.end(),
                                  [&](const Command& command) { return command.name == is_wanted; });
  return found == kCommands.end() ? nullptr : &*found;
}

ParsedCommand parse_command(Value command, const TableSettings& settings) {
  ParsedCommand out;
  std::vector<std::string> words;
  words.reserve(command.items.size());
  for (Value& item : command.items) {
    if (item.type != Type::blob) {
      out.error = "ERR Protocol error: a command is an array of blobs";
      return out;
    }
    words.push_back(std::move(item.text));
  }
  if (words.empty()) {
    out.error = "ERR an empty command";
    return out;
  }
  if (command.attributes) out.error = read_attributes(out.options, *command.attributes);
  if (out.error.empty() && upper(words.front()) == "ROUTE") out.error = read_route(out.options, words);
  if (!out.error.empty()) return out;

  out.command = find_command(words.front());
  if (out.command == nullptr) {
    out.error = "ERR unknown command '" + printable(words.front().substr(0, 40)) +
                "', or one that the router does not carry";
    return out;
  }
  const Command& row = *out.command;
  const auto count = static_cast<int>(words.size());
  if (row.arity >= 0 ? count != row.arity : count < -row.arity) {
    out.error = "ERR wrong number of arguments for '" + std::string(row.name) + "' command";
    return out;
  }
  if (row.kind == K::local) {
    out.words = std::move(words);
    return out;
  }
  if (!row.any_protocol && settings.any_protocol_only) {
    out.error = "ERR " + std::string(row.name) + " needs servers that speak RESP, which not all do here";
    return out;
  }
  const bool each = row.combine != G::one;
  const std::size_t keys = each ? words.size() - 1 : 1;
  if (keys > settings.most_keys) {
    out.error = "ERR over " + std::to_string(settings.most_keys) + " keys in one command";
    return out;
  }
  for (std::size_t i = 1; i <= keys; ++i)
    if (words[i].empty() || words[i].size() > settings.longest_key) {
      out.error = "ERR a key must have 1 to " + std::to_string(settings.longest_key) + " bytes";
      return out;
    }
  if (!out.options.id.empty() && keys > 1) {
    out.error = "ERR ID names one request, and this command is one for each key";
    return out;
  }
  const std::string name(row.name);
  if (name == "SET") {
    bool expires = false;
    out.error = check_set(words, settings, expires);
    if (!out.error.empty()) return out;
    std::string key = words[1];
    if (words.size() == 3) {
      add_part(out, Operation::write, std::move(key), {}, std::move(words[2]));
    } else {
      add_part(out, Operation::other_write, std::move(key), std::move(words));
    }
  } else if (name == "GET" || name == "MGET") {
    for (std::size_t i = 1; i <= keys; ++i) add_part(out, Operation::read, std::move(words[i]), {});
  } else if (row.kind == K::read) {
    for (std::size_t i = 1; i <= keys; ++i) {
      std::vector<std::string> part_words = {name, words[i]};
      add_part(out, row.any_protocol ? Operation::read : Operation::other_read, std::move(words[i]),
               std::move(part_words));
    }
  } else if (each) {
    for (std::size_t i = 1; i <= keys; ++i) {
      std::vector<std::string> part_words = {name, words[i]};
      add_part(out, Operation::other_write, std::move(words[i]), std::move(part_words));
    }
  } else {
    std::string key = words[1];
    add_part(out, Operation::other_write, std::move(key), std::move(words));
  }
  return out;
}

namespace {

Value reply_to_missing_key(const Command& command) {
  switch (command.miss) {
    case M::zero: return Value::integer(0);
    case M::minus_two: return Value::integer(-2);
    case M::null: break;
  }
  return Value::null();
}

Value answer_value(const Command& command, engine::Answer answer) {
  using Form = engine::Answer::Form;
  if (answer.form == Form::nothing) return reply_to_missing_key(command);
  if (answer.form == Form::count) return Value::integer(answer.count);
  switch (command.reply) {
    case R::length: return Value::integer(static_cast<std::int64_t>(answer.body.size()));
    case R::present: return Value::integer(1);
    case R::done:
      // SET with the option GET replies with the previous value of the key.
      if (answer.form == Form::old_value) return Value::blob(std::move(answer.body));
      return Value::simple("OK");
    default: break;
  }
  if (answer.form == Form::done) return Value::simple("OK");
  return Value::blob(std::move(answer.body));
}

}  // namespace

Value reply_to_part(const Command& command, engine::Response reply, bool has_key) {
  using Kind = engine::Response::Kind;
  if (reply.kind == Kind::served) return answer_value(command, std::move(reply.answer));
  // The origin reported that the value does not exist, which is final even if other attempts failed.
  if (reply.not_found && command.kind == K::read) return reply_to_missing_key(command);
  const bool write = command.kind == K::write;
  // TRYAGAIN promises that a repeat is safe. The engine rejects a keyed write that may have run, because
  // servers drop repeats of its key. If the client sent no key, its repeat gets another key, and the promise
  // fails.
  if (reply.kind == Kind::rejected && (!write || !reply.may_have_run || has_key)) {
    std::string text = "TRYAGAIN refused";
    if (write) text += reply.may_have_run ? ", it may have run: repeat it with its KEY" : ", nothing ran";
    if (reply.retry_after > 0)
      text += "; come back in " + std::to_string((reply.retry_after + 999) / 1000) + " ms";
    return Value::error(std::move(text));
  }
  if (!reply.error_message.empty()) return Value::error(std::move(reply.error_message));
  const char* ran = !write ? "" : reply.may_have_run ? "; it may have run" : "; nothing ran";
  return Value::error((reply.late ? "TIMEOUT no answer in time" : "UNAVAILABLE failed") + std::string(ran));
}

Value combine(const Command& command, std::vector<Value> parts) {
  if (command.combine == G::list) return Value::array(std::move(parts));
  if (command.combine == G::one) return std::move(parts.front());
  std::int64_t sum = 0;
  std::size_t failed = 0;
  std::string why;
  for (Value& part : parts) {
    if (part.is_error()) {
      if (failed++ == 0) why = std::move(part.text);
    } else {
      sum += part.number;
    }
  }
  if (failed == 0) return Value::integer(sum);
  if (parts.size() == 1) return Value::error(std::move(why));
  // Clients look for the error code in the first word.
  return Value::error(why + " (" + std::to_string(failed) + " of " + std::to_string(parts.size()) + " keys)");
}

Value describe(std::span<const std::string> words) {
  const auto name_of = [](const Command& command) {
    std::string name(command.name);
    for (char& c : name) c = static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    return name;
  };
  const std::string subcommand = words.size() > 1 ? upper(words[1]) : "";
  if (subcommand == "COUNT") return Value::integer(static_cast<std::int64_t>(kCommands.size()));
  if (subcommand == "DOCS") {
    Value docs = Value::of(Type::map);
    for (const Command& command : kCommands) {
      const bool is_wanted =
          words.size() == 2 || std::any_of(words.begin() + 2, words.end(), [&](const std::string& word) {
            return upper(word) == command.name;
          });
      if (!is_wanted) continue;
      Value doc = Value::of(Type::map);
      doc.items.push_back(Value::blob("summary"));
      doc.items.push_back(Value::blob(std::string(command.summary)));
      doc.items.push_back(Value::blob("group"));
      doc.items.push_back(Value::blob(std::string(command.group)));
      docs.items.push_back(Value::blob(name_of(command)));
      docs.items.push_back(std::move(doc));
    }
    return docs;
  }
  if (!subcommand.empty() && subcommand != "INFO")
    return Value::error("ERR COMMAND knows COUNT, DOCS and INFO");
  const auto to_array = [&](const Command& command) {
    const bool keys = command.kind != K::local;
    const bool many = command.combine != G::one;
    std::vector<Value> flags;
    flags.push_back(Value::simple(command.kind == K::write ? "write" : keys ? "readonly" : "fast"));
    return Value::array([&] {
      std::vector<Value> items;
      items.push_back(Value::blob(name_of(command)));
      items.push_back(Value::integer(command.arity));
      items.push_back(Value::array(std::move(flags)));
      items.push_back(Value::integer(keys ? 1 : 0));
      items.push_back(Value::integer(!keys ? 0 : many ? -1 : 1));
      items.push_back(Value::integer(keys ? 1 : 0));
      return items;
    }());
  };
  Value out = Value::of(Type::array);
  if (subcommand == "INFO" && words.size() > 2) {
    for (std::size_t i = 2; i < words.size(); ++i) {
      const Command* command = find_command(words[i]);
      out.items.push_back(command != nullptr ? to_array(*command) : Value::null());
    }
    return out;
  }
  for (const Command& command : kCommands) out.items.push_back(to_array(command));
  return out;
}

}  // namespace streampick::resp
