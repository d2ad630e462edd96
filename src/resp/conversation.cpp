#include "resp/conversation.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace streampick::resp {
namespace {

constexpr std::uint64_t kPartBits = 16;

Limits decoder_limits(const FrontRules& rules) {
  Limits out;
  out.inline_commands = true;
  out.commands_only = true;
  out.line = 4 * 1024;
  out.blob = rules.longest_value;
  out.items = rules.table.most_keys + 32;
  out.bytes = rules.longest_value + rules.table.most_keys * rules.table.longest_key + 4 * 1024;
  out.depth = 3;
  return out;
}

std::uint64_t hash_key(const std::string& key) { return std::hash<std::string>{}(key); }

// Whether these words are the request line or a header line of an HTTP request. Reading must stop there: the
// lines of an HTTP body would otherwise run as inline commands.
bool speaks_http(const std::vector<Value>& words) {
  const std::string first = upper(words.front().text);
  if (first == "POST" || first == "HOST:") return true;
  constexpr std::array<std::string_view, 8> methods = {"GET",   "PUT",   "HEAD",    "DELETE",
                                                       "PATCH", "TRACE", "OPTIONS", "CONNECT"};
  return words.size() == 3 && upper(words[2].text).rfind("HTTP/", 0) == 0 &&
         std::find(methods.begin(), methods.end(), first) != methods.end();
}

Value text(std::string_view of) { return Value::blob(std::string(of)); }

}  // namespace

Conversation::Conversation(const FrontRules& rules, std::int64_t id)
    : rules_(rules), id_(id), decoder_(decoder_limits(rules)) {}

bool Conversation::wants_more() const {
  return !ended_ && !waiting_ && unwritten_parts_ < rules_.pipeline && pending_.size() < rules_.replies &&
         output_.size() < rules_.longest_value;
}

std::size_t Conversation::put(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && wants_more()) {
    used += decoder_.put(bytes.substr(used));
    if (decoder_.failed()) {
      // After a protocol error the start of the next command is unknown.
      reply(Value::error("ERR Protocol error: " + decoder_.error()));
      ended_ = true;
      break;
    }
    if (!decoder_.done()) continue;
    Value command = decoder_.take();
    // An empty command gets no reply, and clients expect none.
    if (command.items.empty()) continue;
    if (speaks_http(command.items)) {
      ended_ = is_http_ = true;
      break;
    }
    take(std::move(command));
  }
  return used;
}

void Conversation::abandon_command(const std::string& error) {
  if (ended_ || !in_command()) return;
  reply(Value::error("ERR Protocol error: " + error));
  ended_ = true;
}

// Determines the tenant of a request. Returns an error text, or an empty string on success.
std::string Conversation::determine_tenant(const RequestOptions& options, std::string& tenant) const {
  tenant = user_ != nullptr ? user_->tenant : rules_.tenant;
  if (options.tenant.empty() || options.tenant == tenant) return {};
  if (!rules_.users.empty()) return "NOPERM this user's requests are not that tenant's";
  tenant = options.tenant;
  return {};
}

void Conversation::take(Value command) {
  ParsedCommand parsed = parse_command(std::move(command), rules_.table);
  const bool is_authorized = rules_.users.empty() || user_ != nullptr;
  if (!is_authorized) {
    const std::string_view name = parsed.command != nullptr ? parsed.command->name : std::string_view{};
    if (name != "HELLO" && name != "AUTH" && name != "QUIT" && name != "RESET")
      return reply(Value::error("NOAUTH Authentication required."));
  }
  if (!parsed.error.empty()) return reply(Value::error(std::move(parsed.error)));
  if (parsed.parts.empty()) return local(std::move(parsed));
  std::string tenant;
  if (std::string wrong = determine_tenant(parsed.options, tenant); !wrong.empty())
    return reply(Value::error(std::move(wrong)));

  if (conflicts(parsed)) {
    waiting_ = {std::move(parsed), std::move(tenant)};
    return;
  }
  admit(std::move(parsed), tenant);
}

bool Conversation::conflicts(const ParsedCommand& parsed) const {
  const bool write = parsed.command->kind == Command::Kind::write;
  return std::any_of(parsed.parts.begin(), parsed.parts.end(), [&](const Part& part) {
    const auto found = open_by_key_.find(hash_key(part.key));
    return found != open_by_key_.end() && (write || found->second.writes > 0);
  });
}

void Conversation::admit(ParsedCommand parsed, const std::string& tenant) {
  const std::size_t count = parsed.parts.size();
  const bool write = parsed.command->kind == Command::Kind::write;
  PendingReply& pending = pending_.emplace_back();
  pending.command = parsed.command;
  pending.version = version_;
  pending.left = count;
  pending.has_key = !parsed.options.idempotency_key.empty();
  pending.parts.resize(count);
  pending.answered.resize(count);
  open_parts_ += count;
  unwritten_parts_ += count;
  for (std::size_t i = 0; i < count; ++i) {
    KeyRequest request;
    request.tag = next_number_ << kPartBits | i;
    request.command = parsed.command;
    request.part = std::move(parsed.parts[i]);
    pending.keys.push_back(hash_key(request.part.key));
    OpenRequests& open_requests = open_by_key_[pending.keys.back()];
    ++(write ? open_requests.writes : open_requests.reads);
    request.id = parsed.options.id;
    request.idempotency_key = parsed.options.idempotency_key;
    // Writes to two keys need two idempotency keys, or a server would drop the second write as a repeat.
    if (count > 1 && !request.idempotency_key.empty()) request.idempotency_key += ":" + std::to_string(i);
    request.tenant = tenant;
    request.timeout = parsed.options.deadline > 0 ? parsed.options.deadline : timeout_;
    requests_.push_back(std::move(request));
  }
  ++next_number_;
}

void Conversation::reply(Value value) {
  PendingReply& pending = pending_.emplace_back();
  pending.version = version_;
  pending.value = std::move(value);
  ++next_number_;
  flush();
}

void Conversation::set(std::uint64_t tag, Value value, engine::MemoryReservation reservation) {
  const std::uint64_t number = tag >> kPartBits, part = tag & ((1U << kPartBits) - 1);
  if (number < first_number_ || number >= next_number_) return;
  PendingReply& pending = pending_[number - first_number_];
  if (pending.left == 0 || part >= pending.parts.size() || pending.answered[part]) return;
  pending.answered[part] = true;
  pending.parts[part] = std::move(value);
  pending.reservations.push_back(std::move(reservation));
  --open_parts_;
  const auto open_requests = open_by_key_.find(pending.keys[part]);
  --(pending.command->kind == Command::Kind::write ? open_requests->second.writes
                                                   : open_requests->second.reads);
  if (open_requests->second.reads + open_requests->second.writes == 0) open_by_key_.erase(open_requests);
  if (--pending.left == 0) flush();
  if (waiting_ && !conflicts(waiting_->parsed)) {
    WaitingCommand next = std::move(*waiting_);
    waiting_.reset();
    admit(std::move(next.parsed), next.tenant);
  }
}

void Conversation::answered(std::uint64_t tag, engine::Response reply) {
  const std::uint64_t number = tag >> kPartBits;
  if (number < first_number_ || number >= next_number_) return;
  const PendingReply& pending = pending_[number - first_number_];
  if (pending.command == nullptr) return;
  engine::MemoryReservation reservation = std::move(reply.answer.memory);
  set(tag, reply_to_part(*pending.command, std::move(reply), pending.has_key), std::move(reservation));
}

void Conversation::on_duplicate_id(std::uint64_t tag) {
  set(tag, Value::error("DUPLICATE a request with this ID is open; nothing ran"), {});
}

// Encodes the replies at the front of the queue that are complete.
void Conversation::flush() {
  while (!pending_.empty() && pending_.front().left == 0) {
    PendingReply pending = std::move(pending_.front());
    pending_.pop_front();
    ++first_number_;
    output_parts_ += pending.parts.size();
    for (engine::MemoryReservation& reservation : pending.reservations)
      output_reservations_.push_back(std::move(reservation));
    const Value value = pending.command != nullptr ? combine(*pending.command, std::move(pending.parts))
                                                   : std::move(pending.value);
    encode(value, pending.version, output_);
  }
}

std::string Conversation::take_output() {
  writing_parts_ += std::exchange(output_parts_, 0);
  for (engine::MemoryReservation& reservation : output_reservations_)
    unwritten_reservations_.push_back(std::move(reservation));
  output_reservations_.clear();
  return std::exchange(output_, {});
}

void Conversation::written() {
  unwritten_parts_ -= std::exchange(writing_parts_, 0);
  unwritten_reservations_.clear();
}

void Conversation::local(ParsedCommand parsed) {
  const std::vector<std::string>& words = parsed.words;
  const std::string_view name = parsed.command->name;
  if (name == "HELLO") return reply(hello(words));
  if (name == "AUTH") {
    if (words.size() > 3) return reply(Value::error("ERR syntax error"));
    return reply(words.size() == 2 ? authenticate("default", words[1]) : authenticate(words[1], words[2]));
  }
  if (name == "PING") {
    if (words.size() > 2) return reply(Value::error("ERR wrong number of arguments for 'ping' command"));
    return reply(words.size() == 2 ? Value::blob(words[1]) : Value::simple("PONG"));
  }
  if (name == "ECHO") return reply(Value::blob(words[1]));
  if (name == "QUIT") {
    reply(Value::simple("OK"));
    ended_ = true;
    return;
  }
  if (name == "RESET") {
    version_ = Version::resp2;
    user_ = nullptr;
    name_.clear();
    timeout_ = 0;
    return reply(Value::simple("RESET"));
  }
  if (name == "SELECT")
    return reply(words[1] == "0" ? Value::simple("OK") : Value::error("ERR DB index is out of range"));
  if (name == "CLIENT") return reply(client(words));
  if (name == "COMMAND") return reply(describe(words));
  if (name == "INFO") return reply(Value::blob(info(rules_.statistics(), words)));
  // The command is DEADLINE.
  std::int64_t ms = 0;
  const char* end = words[1].data() + words[1].size();
  const auto conversion = std::from_chars(words[1].data(), end, ms);
  if (conversion.ec != std::errc{} || conversion.ptr != end || ms < 0 || ms > 86'400'000)
    return reply(Value::error("ERR DEADLINE must be a number of milliseconds, 0 or more"));
  timeout_ = ms * 1000;
  reply(Value::simple("OK"));
}

Value Conversation::authenticate(const std::string& name, const std::string& password) {
  if (rules_.users.empty())
    return Value::error("ERR AUTH called without any user being configured for the router");
  const User* found = nullptr;
  for (const User& user : rules_.users) {
    // Compares all characters, so that the duration does not reveal how many of them match.
    unsigned differs = user.password.size() == password.size() ? 0U : 1U;
    for (std::size_t i = 0; i < password.size() && i < user.password.size(); ++i)
      differs |= static_cast<unsigned char>(password[i]) ^ static_cast<unsigned char>(user.password[i]);
    if (user.name == name && differs == 0) found = &user;
  }
  if (found == nullptr) return Value::error("WRONGPASS invalid username-password pair");
  user_ = found;
  return Value::simple("OK");
}

Value Conversation::hello(const std::vector<std::string>& words) {
  Version version = version_;
  std::size_t at = 1;
  if (at < words.size()) {
    if (words[at] != "2" && words[at] != "3") return Value::error("NOPROTO unsupported protocol version");
    version = words[at] == "2" ? Version::resp2 : Version::resp3;
    ++at;
  }
  std::string name = name_;
  const User* before = user_;
  while (at < words.size()) {
    const std::string option = upper(words[at]);
    if (option == "AUTH" && at + 2 < words.size()) {
      Value result = authenticate(words[at + 1], words[at + 2]);
      if (result.is_error()) {
        user_ = before;
        return result;
      }
      at += 3;
    } else if (option == "SETNAME" && at + 1 < words.size()) {
      name = words[at + 1];
      at += 2;
    } else {
      user_ = before;
      return Value::error("ERR syntax error in HELLO option '" + option.substr(0, 32) + "'");
    }
  }
  if (!rules_.users.empty() && user_ == nullptr)
    return Value::error("NOAUTH HELLO must be called with the client already authenticated, or with AUTH");
  version_ = version;
  name_ = name.substr(0, 128);
  Value out = Value::of(Type::map);
  const auto add = [&](std::string_view key, Value value) {
    out.items.push_back(text(key));
    out.items.push_back(std::move(value));
  };
  add("server", text("streampick"));
  add("version", text("7.0.0"));  // clients choose their commands by this version of Redis
  add("proto", Value::integer(version_ == Version::resp3 ? 3 : 2));
  add("id", Value::integer(id_));
  add("mode", text("standalone"));
  add("role", text("master"));
  add("modules", Value::array({}));
  return out;
}

Value Conversation::client(const std::vector<std::string>& words) {
  const std::string what = upper(words[1]);
  if (what == "ID" && words.size() == 2) return Value::integer(id_);
  if (what == "GETNAME" && words.size() == 2) return name_.empty() ? Value::null() : Value::blob(name_);
  if (what == "SETNAME" && words.size() == 3) {
    if (words[2].size() > 128 || words[2].find_first_of(" \r\n") != std::string::npos)
      return Value::error("ERR Client names cannot contain spaces, newlines or special characters.");
    name_ = words[2];
    return Value::simple("OK");
  }
  if (what == "SETINFO" && words.size() == 4) {
    const std::string attribute = upper(words[2]);
    if (attribute != "LIB-NAME" && attribute != "LIB-VER")
      return Value::error("ERR Unrecognized option '" + words[2].substr(0, 32) + "'");
    return Value::simple("OK");
  }
  // The router evicts no clients, so that both settings hold.
  if (what == "NO-EVICT" && words.size() == 3) {
    const std::string setting = upper(words[2]);
    if (setting == "ON" || setting == "OFF") return Value::simple("OK");
    return Value::error("ERR syntax error");
  }
  return Value::error("ERR unknown subcommand or wrong number of arguments for 'client'");
}

}  // namespace streampick::resp
