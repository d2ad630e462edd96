#include "resp/pipeline.h"

#include <algorithm>
#include <array>
#include <utility>

namespace streampick::resp {
namespace {

Limits decoder_limits(const ServerRules& rules) {
  Limits out;
  out.blob = rules.longest_value;
  out.bytes = rules.longest_value + 64 * 1024;
  out.items = 4 * 1024;
  return out;
}

std::string_view first_word(std::string_view text) { return text.substr(0, text.find(' ')); }

// Shortens and sanitizes the text of a reply for clients and the log.
std::string sanitize(std::string_view text) { return printable(text.substr(0, 200)); }

// The command table's row for a message. GET and SET, the most frequent commands, are looked up only once.
const Command* command_of(const engine::Message& message) {
  static const Command* const get = find_command("GET");
  static const Command* const set = find_command("SET");
  if (message.words.empty()) return message.operation == engine::Operation::write ? set : get;
  return find_command(message.words.front());
}

}  // namespace

Outcome outcome_of_error(std::string_view text) {
  // Errors of a server that did not run the command. It or another server may run it later.
  constexpr std::array<std::string_view, 19> not_run = {
      "LOADING",    "BUSY",      "MOVED",       "ASK",        "READONLY",   "OOM",      "NOAUTH",
      "NOPERM",     "MISCONF",   "CLUSTERDOWN", "MASTERDOWN", "NOREPLICAS", "TRYAGAIN", "DRAINING",
      "MAXCLIENTS", "WRONGPASS", "CROSSSLOT",   "UNBLOCKED",  "INPROG"};
  // Errors about the command itself, which every server would return.
  constexpr std::array<std::string_view, 4> invalid_command = {"ERR", "WRONGTYPE", "SYNTAX", "DUPLICATE"};
  const std::string_view word = first_word(text);
  if (std::find(not_run.begin(), not_run.end(), word) != not_run.end()) return Outcome::overloaded;
  // A server at its connection limit replies this instead of a greeting.
  if (text.starts_with("ERR max number of clients")) return Outcome::overloaded;
  if (std::find(invalid_command.begin(), invalid_command.end(), word) != invalid_command.end())
    return Outcome::invalid_request;
  return Outcome::error;
}

AttemptResult interpret_reply(engine::AttemptId attempt, const Command* command, bool options, Value reply,
                              bool null_is_miss) {
  using Form = engine::Answer::Form;
  using ReplyType = Command::Reply;
  const auto malformed = [attempt] { return AttemptResult{attempt, Outcome::malformed, {}}; };
  if (reply.is_error()) {
    AttemptResult out{attempt, outcome_of_error(reply.text), {}};
    if (out.outcome == Outcome::invalid_request) out.answer.body = sanitize(reply.text);
    return out;
  }
  if (command == nullptr) return malformed();
  AttemptResult out{attempt, Outcome::served, {}};
  switch (reply.type) {
    case Type::null: out.answer.form = Form::nothing; break;
    case Type::number:
      out.answer.form = Form::count;
      out.answer.count = reply.number;
      break;
    case Type::simple: out.answer.form = Form::done; break;
    case Type::blob:
    case Type::verbatim:
      out.answer.form = command->reply == ReplyType::done ? Form::old_value : Form::value;
      out.answer.body = std::move(reply.text);
      break;
    default: return malformed();
  }
  // A reply of a type that the command never returns is malformed.
  const Form form = out.answer.form;
  bool is_expected = false;
  switch (command->reply) {
    case ReplyType::value: is_expected = form == Form::value || form == Form::nothing; break;
    case ReplyType::done: is_expected = form == Form::done || (options && form != Form::count); break;
    case ReplyType::length:
    case ReplyType::present:
    case ReplyType::count: is_expected = form == Form::count; break;
  }
  if (!is_expected) return malformed();
  if (null_is_miss && command->kind == Command::Kind::read) {
    const bool is_missing = command->miss == Command::Miss::null        ? form == Form::nothing
                            : command->miss == Command::Miss::minus_two ? reply.number == -2
                                                                        : reply.number == 0;
    if (is_missing) out.outcome = Outcome::miss;
  }
  return out;
}

Pipeline::Pipeline(const ServerRules& rules, bool null_is_miss)
    : rules_(&rules), null_is_miss_(null_is_miss), decoder_(decoder_limits(rules)) {
  append_greeting(true);
}

Pipeline::Entry& Pipeline::append(Role role, const std::vector<std::string_view>& words) {
  Entry& entry = entries_.emplace_back();
  entry.role = role;
  entry.begin = appended_;
  const std::size_t before = out_.size();
  encode_command(words, out_);
  appended_ += out_.size() - before;
  entry.end = appended_;
  return entry;
}

void Pipeline::append_greeting(bool use_resp3) {
  const std::string_view user = rules_->user.empty() ? std::string_view("default") : rules_->user;
  std::vector<std::string_view> words;
  if (use_resp3) {
    words = {"HELLO", "3"};
    if (!rules_->password.empty()) words.insert(words.end(), {"AUTH", user, rules_->password});
  } else {
    words = {"AUTH"};
    if (!rules_->user.empty()) words.push_back(user);
    words.push_back(rules_->password);
  }
  append(use_resp3 ? Role::hello : Role::auth, words);
}

void Pipeline::send(engine::AttemptId attempt, const engine::Message& message, Time remaining,
                    Time begin_by) {
  std::vector<std::string_view> words;
  const std::string ms = std::to_string(std::max<Time>(remaining / 1000, 1));
  if (rules_->send_ids) {
    words = {"ROUTE", "ID", message.transaction_id, "DEADLINE", ms};
    if (!message.idempotency_key.empty()) words.insert(words.end(), {"KEY", message.idempotency_key});
  }
  if (!message.words.empty()) {
    words.insert(words.end(), message.words.begin(), message.words.end());
  } else if (message.operation == engine::Operation::write) {
    words.insert(words.end(), {"SET", message.key, message.body});
  } else {
    words.insert(words.end(), {"GET", message.key});
  }
  Entry& entry = append(Role::attempt, words);
  entry.begin_by = begin_by;
  entry.attempt = attempt;
  entry.command = command_of(message);
  entry.write = engine::is_write(message.operation);
  entry.options = !message.words.empty();
  if (entry.write) ++writes_;
  ++awaited_replies_;
}

void Pipeline::store(const std::string& key, const std::string& value) {
  std::vector<std::string_view> words = {"SET", key, value};
  const std::string expiry_ms = std::to_string(rules_->store_ms);
  if (rules_->store_ms > 0) words.insert(words.end(), {"PX", expiry_ms});
  words.push_back("NX");  // a value that the cache has received since is newer
  append(Role::store, words);
}

void Pipeline::remove(const std::string& key) { append(Role::store, {"DEL", key}); }

std::size_t Pipeline::written(std::size_t bytes) {
  out_offset_ += bytes;
  const std::uint64_t before = std::exchange(written_, written_ + bytes);
  const auto completed = std::count_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.role == Role::attempt && entry.end > before && entry.end <= written_;
  });
  if (out_offset_ == out_.size()) {
    out_.clear();
    out_offset_ = 0;
    if (out_.capacity() > 64 * 1024) out_.shrink_to_fit();
  }
  return static_cast<std::size_t>(completed);
}

std::size_t Pipeline::written_entries() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(),
                                                [&](const Entry& entry) { return entry.end <= written_; }));
}

void Pipeline::on_entry_removed(const Entry& entry) {
  if (entry.role != Role::attempt) return;
  if (entry.write) --writes_;
  if (!entry.cancelled) --awaited_replies_;
}

// Ends all entries from `index` on with `outcome`, and removes their unwritten bytes from the output.
void Pipeline::end_entries_from(std::size_t index, Outcome outcome) {
  if (index >= entries_.size()) return;
  const std::uint64_t begin = std::max(entries_[index].begin, written_);
  const auto keep = static_cast<std::size_t>(begin - written_);
  out_.resize(out_offset_ + keep);
  appended_ = begin;
  for (std::size_t i = index; i < entries_.size(); ++i) {
    on_entry_removed(entries_[i]);
    if (entries_[i].role == Role::attempt && !entries_[i].cancelled)
      ended_.push_back({entries_[i].attempt, outcome, {}});
  }
  entries_.resize(index);
}

void Pipeline::drop_unsent() {
  std::size_t first = entries_.size();
  while (first > 0 && entries_[first - 1].begin >= written_ && entries_[first - 1].role != Role::hello &&
         entries_[first - 1].role != Role::auth)
    --first;
  end_entries_from(first, Outcome::not_sent);
}

std::deque<Pipeline::Entry>::iterator Pipeline::entry_of(engine::AttemptId attempt) {
  return std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.role == Role::attempt && !entry.cancelled && entry.attempt == attempt;
  });
}

std::vector<engine::AttemptId> Pipeline::unsent() const {
  std::vector<engine::AttemptId> out;
  for (const Entry& entry : entries_)
    if (entry.role == Role::attempt && !entry.cancelled && entry.begin >= written_)
      out.push_back(entry.attempt);
  return out;
}

Time Pipeline::begin_by(engine::AttemptId attempt) const {
  for (const Entry& entry : entries_)
    if (entry.role == Role::attempt && entry.attempt == attempt) return entry.begin_by;
  return kNever;
}

std::optional<engine::AttemptId> Pipeline::partially_sent() const {
  for (const Entry& entry : entries_)
    if (entry.role == Role::attempt && !entry.cancelled && entry.begin < written_ && entry.end > written_)
      return entry.attempt;
  return std::nullopt;
}

bool Pipeline::cancel_unsent(engine::AttemptId attempt) {
  const auto found = entry_of(attempt);
  if (found == entries_.end() || found->begin < written_ || found->end <= written_) return false;
  // Removes the bytes of the command from the output.
  const std::uint64_t length = found->end - found->begin;
  out_.erase(out_offset_ + static_cast<std::size_t>(found->begin - written_),
             static_cast<std::size_t>(length));
  appended_ -= length;
  on_entry_removed(*found);
  for (auto later = entries_.erase(found); later != entries_.end(); ++later) {
    later->begin -= length;
    later->end -= length;
  }
  return true;
}

void Pipeline::cancel(engine::AttemptId attempt) {
  if (cancel_unsent(attempt)) return;
  const auto found = entry_of(attempt);
  if (found == entries_.end()) return;
  const auto index = static_cast<std::size_t>(found - entries_.begin());
  if (found->end > written_) {
    // A part of the command is written. The rest must not follow, because its request is over. No byte of any
    // later command is written.
    on_entry_removed(*found);
    end_entries_from(index + 1, Outcome::connect_failed);
    entries_.pop_back();
    out_.clear();
    out_offset_ = 0;
    appended_ = written_;
    state_ = State::closing;
    error_ = "an attempt was cancelled while its command was partly written";
    return;
  }
  found->cancelled = true;
  --awaited_replies_;
}

void Pipeline::put(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && state_ != State::broken) {
    used += decoder_.put(bytes.substr(used));
    if (decoder_.failed()) return fail(decoder_.error());
    if (decoder_.done()) on_reply(decoder_.take());
  }
}

void Pipeline::on_reply(Value reply) {
  // A reply without a command, or one that arrives before its command is completely written, shows that
  // replies no longer match commands: every later reply could belong to another command.
  if (entries_.empty()) {
    if (reply.is_error() && state_ == State::ready) return fail("error reply: " + sanitize(reply.text));
    return fail("a reply without a request");
  }
  if (entries_.front().end > written_) {
    if (!greeted() && reply.is_error()) return fail("error reply: " + sanitize(reply.text));
    return fail("a reply arrived before its command was written");
  }
  const Entry entry = std::move(entries_.front());
  entries_.pop_front();
  on_entry_removed(entry);
  if (entry.role == Role::hello || entry.role == Role::auth)
    return on_greeting_reply(entry.role, std::move(reply));
  if (entry.role == Role::store) return;
  if (entry.cancelled) {
    ++ignored_replies_;
    return;
  }
  ended_.push_back(
      interpret_reply(entry.attempt, entry.command, entry.options, std::move(reply), null_is_miss_));
}

void Pipeline::on_greeting_reply(Role role, Value reply) {
  if (!reply.is_error()) {
    if (role == Role::hello) version_ = Version::resp3;
    state_ = State::ready;
    return;
  }
  const std::string_view word = first_word(reply.text);
  // A server without RESP3 does not support HELLO, or not this protocol version.
  if (role == Role::hello && (word == "NOPROTO" || word == "ERR") &&
      !reply.text.starts_with("ERR max number")) {
    if (rules_->password.empty()) {
      state_ = State::ready;
    } else {
      append_greeting(false);
    }
    return;
  }
  fail("greeting: " + sanitize(reply.text));
}

void Pipeline::fail(std::string error) {
  if (state_ == State::broken) return;
  error_ = std::move(error);
  // Replies that were received completely remain valid. The unreadable bytes are the reply to the first
  // command, if that is completely written; the outcome of later commands stays unknown.
  const bool first_is_malformed = greeted() && !entries_.empty() && entries_.front().end <= written_;
  if (first_is_malformed) {
    const Entry entry = std::move(entries_.front());
    entries_.pop_front();
    on_entry_removed(entry);
    if (entry.role == Role::attempt && !entry.cancelled)
      ended_.push_back({entry.attempt, Outcome::malformed, {}});
  }
  end();
}

void Pipeline::end() {
  if (state_ == State::broken) return;
  state_ = State::broken;
  while (!entries_.empty()) {
    const Entry entry = std::move(entries_.front());
    entries_.pop_front();
    on_entry_removed(entry);
    if (entry.role != Role::attempt || entry.cancelled) continue;
    ended_.push_back({entry.attempt, entry.end <= written_ ? Outcome::reset : Outcome::connect_failed, {}});
  }
  out_.clear();
  out_offset_ = 0;
}

}  // namespace streampick::resp
