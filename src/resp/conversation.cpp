#include "resp/conversation.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace streampick::resp {
namespace {

constexpr std::uint64_t kPartBits = 16;

Limits limits_of(const FrontRules& rules) {
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

std::uint64_t hash_of(const std::string& key) { return std::hash<std::string>{}(key); }

// Whether these words are the first line or a header line of an HTTP request. None of them is a command here,
// and what follows them is a stranger's: a body's lines would be run as inline commands.
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
    : rules_(rules), id_(id), decoder_(limits_of(rules)) {}

bool Conversation::wants_more() const {
  return !over_ && !parked_ && unwritten_parts_ < rules_.pipeline && slots_.size() < rules_.replies &&
         output_.size() < rules_.longest_value;
}

std::size_t Conversation::put(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && wants_more()) {
    used += decoder_.put(bytes.substr(used));
    if (decoder_.failed()) {
      // Where the next command begins is not known any more.
      reply(Value::error("ERR Protocol error: " + decoder_.error()));
      over_ = true;
      break;
    }
    if (!decoder_.done()) continue;
    Value command = decoder_.take();
    // An empty command has no reply: the client that sends one waits for none.
    if (command.items.empty()) continue;
    if (speaks_http(command.items)) {
      over_ = foreign_ = true;
      break;
    }
    take(std::move(command));
  }
  return used;
}

void Conversation::abandon_command(const std::string& error) {
  if (over_ || !half_asked()) return;
  reply(Value::error("ERR Protocol error: " + error));
  over_ = true;
}

// Whose request it is; or what is wrong.
std::string Conversation::who(const Told& told, std::string& tenant) const {
  tenant = user_ != nullptr ? user_->tenant : rules_.tenant;
  if (told.tenant.empty() || told.tenant == tenant) return {};
  if (!rules_.users.empty()) return "NOPERM this user's requests are not that tenant's";
  tenant = told.tenant;
  return {};
}

void Conversation::take(Value command) {
  Plan planned = plan(std::move(command), rules_.table);
  const bool anybody = rules_.users.empty() || user_ != nullptr;
  if (!anybody) {
    const std::string_view name = planned.command != nullptr ? planned.command->name : std::string_view{};
    if (name != "HELLO" && name != "AUTH" && name != "QUIT" && name != "RESET")
      return reply(Value::error("NOAUTH Authentication required."));
  }
  if (!planned.error.empty()) return reply(Value::error(std::move(planned.error)));
  if (planned.parts.empty()) return local(std::move(planned));
  std::string tenant;
  if (std::string wrong = who(planned.told, tenant); !wrong.empty())
    return reply(Value::error(std::move(wrong)));

  if (conflicts(planned)) {
    parked_ = {std::move(planned), std::move(tenant)};
    return;
  }
  admit(std::move(planned), tenant);
}

bool Conversation::conflicts(const Plan& planned) const {
  const bool write = planned.command->kind == Command::Kind::write;
  return std::any_of(planned.parts.begin(), planned.parts.end(), [&](const Part& part) {
    const auto found = keys_.find(hash_of(part.key));
    return found != keys_.end() && (write || found->second.writes > 0);
  });
}

void Conversation::admit(Plan planned, const std::string& tenant) {
  const std::size_t count = planned.parts.size();
  const bool write = planned.command->kind == Command::Kind::write;
  Slot& slot = slots_.emplace_back();
  slot.command = planned.command;
  slot.version = version_;
  slot.left = count;
  slot.has_key = !planned.told.idempotency_key.empty();
  slot.parts.resize(count);
  slot.answered.resize(count);
  open_parts_ += count;
  unwritten_parts_ += count;
  for (std::size_t i = 0; i < count; ++i) {
    Ask ask;
    ask.tag = next_slot_ << kPartBits | i;
    ask.command = planned.command;
    ask.part = std::move(planned.parts[i]);
    slot.keys.push_back(hash_of(ask.part.key));
    OnKey& on_key = keys_[slot.keys.back()];
    ++(write ? on_key.writes : on_key.reads);
    ask.id = planned.told.id;
    ask.idempotency_key = planned.told.idempotency_key;
    // Two keys' writes are two effects: repeats of one must not drop the other.
    if (count > 1 && !ask.idempotency_key.empty()) ask.idempotency_key += ":" + std::to_string(i);
    ask.tenant = tenant;
    ask.patience = planned.told.deadline > 0 ? planned.told.deadline : patience_;
    asks_.push_back(std::move(ask));
  }
  ++next_slot_;
}

void Conversation::reply(Value value) {
  Slot& slot = slots_.emplace_back();
  slot.version = version_;
  slot.value = std::move(value);
  ++next_slot_;
  flush();
}

void Conversation::set(std::uint64_t tag, Value value, engine::MemoryReservation reservation) {
  const std::uint64_t number = tag >> kPartBits, part = tag & ((1U << kPartBits) - 1);
  if (number < first_slot_ || number >= next_slot_) return;
  Slot& slot = slots_[number - first_slot_];
  if (slot.left == 0 || part >= slot.parts.size() || slot.answered[part]) return;
  slot.answered[part] = true;
  slot.parts[part] = std::move(value);
  slot.leases.push_back(std::move(reservation));
  --open_parts_;
  const auto on_key = keys_.find(slot.keys[part]);
  --(slot.command->kind == Command::Kind::write ? on_key->second.writes : on_key->second.reads);
  if (on_key->second.reads + on_key->second.writes == 0) keys_.erase(on_key);
  if (--slot.left == 0) flush();
  if (parked_ && !conflicts(parked_->planned)) {
    Parked next = std::move(*parked_);
    parked_.reset();
    admit(std::move(next.planned), next.tenant);
  }
}

void Conversation::answered(std::uint64_t tag, engine::Response reply) {
  const std::uint64_t number = tag >> kPartBits;
  if (number < first_slot_ || number >= next_slot_) return;
  const Slot& slot = slots_[number - first_slot_];
  if (slot.command == nullptr) return;
  engine::MemoryReservation reservation = std::move(reply.answer.memory);
  set(tag, spell(*slot.command, std::move(reply), slot.has_key), std::move(reservation));
}

void Conversation::id_is_open(std::uint64_t tag) {
  set(tag, Value::error("DUPLICATE a request with this ID is open; nothing ran"), {});
}

// What is whole at the front of the line goes out.
void Conversation::flush() {
  while (!slots_.empty() && slots_.front().left == 0) {
    Slot slot = std::move(slots_.front());
    slots_.pop_front();
    ++first_slot_;
    output_parts_ += slot.parts.size();
    for (engine::MemoryReservation& reservation : slot.leases)
      output_leases_.push_back(std::move(reservation));
    const Value value =
        slot.command != nullptr ? gather(*slot.command, std::move(slot.parts)) : std::move(slot.value);
    encode(value, slot.version, output_);
  }
}

std::string Conversation::take_output() {
  writing_parts_ += std::exchange(output_parts_, 0);
  for (engine::MemoryReservation& reservation : output_leases_)
    written_leases_.push_back(std::move(reservation));
  output_leases_.clear();
  return std::exchange(output_, {});
}

void Conversation::written() {
  unwritten_parts_ -= std::exchange(writing_parts_, 0);
  written_leases_.clear();
}

void Conversation::local(Plan planned) {
  const std::vector<std::string>& words = planned.words;
  const std::string_view name = planned.command->name;
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
    over_ = true;
    return;
  }
  if (name == "RESET") {
    version_ = Version::resp2;
    user_ = nullptr;
    name_.clear();
    patience_ = 0;
    return reply(Value::simple("RESET"));
  }
  if (name == "SELECT")
    return reply(words[1] == "0" ? Value::simple("OK") : Value::error("ERR DB index is out of range"));
  if (name == "CLIENT") return reply(client(words));
  if (name == "COMMAND") return reply(describe(words));
  if (name == "INFO") return reply(Value::blob(info(rules_.figures(), words)));
  // DEADLINE
  std::int64_t ms = 0;
  const char* end = words[1].data() + words[1].size();
  const auto parsed = std::from_chars(words[1].data(), end, ms);
  if (parsed.ec != std::errc{} || parsed.ptr != end || ms < 0 || ms > 86'400'000)
    return reply(Value::error("ERR DEADLINE must be a number of milliseconds, 0 or more"));
  patience_ = ms * 1000;
  reply(Value::simple("OK"));
}

Value Conversation::authenticate(const std::string& name, const std::string& password) {
  if (rules_.users.empty())
    return Value::error("ERR AUTH called without any user being configured for the router");
  const User* found = nullptr;
  for (const User& user : rules_.users) {
    // Compared to the end, so that the time taken tells nothing of how much of it was right.
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
  add("version", text("7.0.0"));  // of the commands' behaviour, which clients ask for
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
  // Nothing is evicted here, so that either wish is kept.
  if (what == "NO-EVICT" && words.size() == 3) {
    const std::string wish = upper(words[2]);
    if (wish == "ON" || wish == "OFF") return Value::simple("OK");
    return Value::error("ERR syntax error");
  }
  return Value::error("ERR unknown subcommand or wrong number of arguments for 'client'");
}

}  // namespace streampick::resp
