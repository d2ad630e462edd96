#include "resp/pipeline.h"

#include <algorithm>
#include <array>
#include <utility>

namespace streampick::resp {
namespace {

Limits limits_of(const ServerRules& rules) {
  Limits out;
  out.blob = rules.longest_value;
  out.bytes = rules.longest_value + 64 * 1024;
  out.items = 4 * 1024;
  return out;
}

std::string_view first_word(std::string_view text) { return text.substr(0, text.find(' ')); }

// As a client may be told them, or the log.
std::string words_of(std::string_view text) { return printable(text.substr(0, 200)); }

// The table's row; the two that nearly all are need no looking up.
const Command* command_of(const engine::Message& message) {
  static const Command* const get = find_command("GET");
  static const Command* const set = find_command("SET");
  if (message.words.empty()) return message.operation == engine::Operation::write ? set : get;
  return find_command(message.words.front());
}

}  // namespace

Outcome outcome_of_error(std::string_view text) {
  // The server says that it did not run the command, and might later, or another server might.
  constexpr std::array<std::string_view, 19> never = {
      "LOADING",    "BUSY",      "MOVED",       "ASK",        "READONLY",   "OOM",      "NOAUTH",
      "NOPERM",     "MISCONF",   "CLUSTERDOWN", "MASTERDOWN", "NOREPLICAS", "TRYAGAIN", "DRAINING",
      "MAXCLIENTS", "WRONGPASS", "CROSSSLOT",   "UNBLOCKED",  "INPROG"};
  // It finds fault with the command itself: every server would.
  constexpr std::array<std::string_view, 4> rejects = {"ERR", "WRONGTYPE", "SYNTAX", "DUPLICATE"};
  const std::string_view word = first_word(text);
  if (std::find(never.begin(), never.end(), word) != never.end()) return Outcome::overloaded;
  // Replied in place of a greeting by a server that has no place for one more connection.
  if (text.starts_with("ERR max number of clients")) return Outcome::overloaded;
  if (std::find(rejects.begin(), rejects.end(), word) != rejects.end()) return Outcome::invalid_request;
  return Outcome::error;
}

Ended read_reply(engine::AttemptId attempt, const Command* command, bool options, Value reply,
                 bool null_is_miss) {
  using Form = engine::Answer::Form;
  using Wants = Command::Reply;
  const auto spoilt = [attempt] { return Ended{attempt, Outcome::malformed, {}}; };
  if (reply.is_error()) {
    Ended out{attempt, outcome_of_error(reply.text), {}};
    if (out.outcome == Outcome::invalid_request) out.answer.body = words_of(reply.text);
    return out;
  }
  if (command == nullptr) return spoilt();
  Ended out{attempt, Outcome::served, {}};
  switch (reply.type) {
    case Type::null: out.answer.form = Form::nothing; break;
    case Type::number:
      out.answer.form = Form::count;
      out.answer.count = reply.number;
      break;
    case Type::simple: out.answer.form = Form::done; break;
    case Type::blob:
    case Type::verbatim:
      out.answer.form = command->reply == Wants::done ? Form::old_value : Form::value;
      out.answer.body = std::move(reply.text);
      break;
    default: return spoilt();
  }
  // A reply that the command can't have is an answer to something else.
  const Form form = out.answer.form;
  bool fits = false;
  switch (command->reply) {
    case Wants::value: fits = form == Form::value || form == Form::nothing; break;
    case Wants::done: fits = form == Form::done || (options && form != Form::count); break;
    case Wants::length:
    case Wants::present:
    case Wants::count: fits = form == Form::count; break;
  }
  if (!fits) return spoilt();
  if (null_is_miss && command->kind == Command::Kind::read) {
    const bool lacks = command->miss == Command::Miss::null        ? form == Form::nothing
                       : command->miss == Command::Miss::minus_two ? reply.number == -2
                                                                   : reply.number == 0;
    if (lacks) out.outcome = Outcome::miss;
  }
  return out;
}

Pipeline::Pipeline(const ServerRules& rules, bool null_is_miss)
    : rules_(&rules), null_is_miss_(null_is_miss), decoder_(limits_of(rules)) {
  greet(true);
}

Pipeline::Entry& Pipeline::offer(Role role, const std::vector<std::string_view>& words) {
  Entry& entry = entries_.emplace_back();
  entry.role = role;
  entry.begin = offered_;
  const std::size_t before = out_.size();
  encode_command(words, out_);
  offered_ += out_.size() - before;
  entry.end = offered_;
  return entry;
}

void Pipeline::greet(bool three) {
  const std::string_view user = rules_->user.empty() ? std::string_view("default") : rules_->user;
  std::vector<std::string_view> words;
  if (three) {
    words = {"HELLO", "3"};
    if (!rules_->password.empty()) words.insert(words.end(), {"AUTH", user, rules_->password});
  } else {
    words = {"AUTH"};
    if (!rules_->user.empty()) words.push_back(user);
    words.push_back(rules_->password);
  }
  offer(three ? Role::hello : Role::auth, words);
}

void Pipeline::send(engine::AttemptId attempt, const engine::Message& message, Time remaining) {
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
  Entry& entry = offer(Role::attempt, words);
  entry.attempt = attempt;
  entry.command = command_of(message);
  entry.write = engine::is_write(message.operation);
  entry.options = !message.words.empty();
  if (entry.write) ++writes_;
  ++waited_for_;
}

void Pipeline::store(const std::string& key, const std::string& value) {
  std::vector<std::string_view> words = {"SET", key, value};
  const std::string life = std::to_string(rules_->store_ms);
  if (rules_->store_ms > 0) words.insert(words.end(), {"PX", life});
  words.push_back("NX");  // what the cache has got since is newer
  offer(Role::store, words);
}

void Pipeline::remove(const std::string& key) { offer(Role::store, {"DEL", key}); }

std::size_t Pipeline::written(std::size_t bytes) {
  out_at_ += bytes;
  const std::uint64_t before = std::exchange(written_, written_ + bytes);
  const auto whole = std::count_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.role == Role::attempt && entry.end > before && entry.end <= written_;
  });
  if (out_at_ == out_.size()) {
    out_.clear();
    out_at_ = 0;
    if (out_.capacity() > 64 * 1024) out_.shrink_to_fit();
  }
  return static_cast<std::size_t>(whole);
}

std::size_t Pipeline::sent_whole() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(),
                                                [&](const Entry& entry) { return entry.end <= written_; }));
}

void Pipeline::leave(const Entry& entry) {
  if (entry.role != Role::attempt) return;
  if (entry.write) --writes_;
  if (!entry.forgotten) --waited_for_;
}

// Ends entries from `index` on; their bytes leave the output.
void Pipeline::cut_from(std::size_t index, Outcome outcome) {
  if (index >= entries_.size()) return;
  const std::uint64_t begin = std::max(entries_[index].begin, written_);
  const auto keep = static_cast<std::size_t>(begin - written_);
  out_.resize(out_at_ + keep);
  offered_ = begin;
  for (std::size_t i = index; i < entries_.size(); ++i) {
    leave(entries_[i]);
    if (entries_[i].role == Role::attempt && !entries_[i].forgotten)
      ended_.push_back({entries_[i].attempt, outcome, {}});
  }
  entries_.resize(index);
}

void Pipeline::drop_unsent() {
  std::size_t first = entries_.size();
  while (first > 0 && entries_[first - 1].begin >= written_ && entries_[first - 1].role != Role::hello &&
         entries_[first - 1].role != Role::auth)
    --first;
  cut_from(first, Outcome::not_sent);
}

std::deque<Pipeline::Entry>::iterator Pipeline::entry_of(engine::AttemptId attempt) {
  return std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.role == Role::attempt && !entry.forgotten && entry.attempt == attempt;
  });
}

std::vector<engine::AttemptId> Pipeline::unsent() const {
  std::vector<engine::AttemptId> out;
  for (const Entry& entry : entries_)
    if (entry.role == Role::attempt && !entry.forgotten && entry.begin >= written_)
      out.push_back(entry.attempt);
  return out;
}

std::optional<engine::AttemptId> Pipeline::half_sent() const {
  for (const Entry& entry : entries_)
    if (entry.role == Role::attempt && !entry.forgotten && entry.begin < written_ && entry.end > written_)
      return entry.attempt;
  return std::nullopt;
}

bool Pipeline::cancel_unsent(engine::AttemptId attempt) {
  const auto found = entry_of(attempt);
  if (found == entries_.end() || found->begin < written_ || found->end <= written_) return false;
  // Its bytes are taken out of the run.
  const std::uint64_t length = found->end - found->begin;
  out_.erase(out_at_ + static_cast<std::size_t>(found->begin - written_), static_cast<std::size_t>(length));
  offered_ -= length;
  leave(*found);
  for (auto behind = entries_.erase(found); behind != entries_.end(); ++behind) {
    behind->begin -= length;
    behind->end -= length;
  }
  return true;
}

void Pipeline::forget(engine::AttemptId attempt) {
  if (cancel_unsent(attempt)) return;
  const auto found = entry_of(attempt);
  if (found == entries_.end()) return;
  const auto index = static_cast<std::size_t>(found - entries_.begin());
  if (found->end > written_) {
    // Some of it has left. The rest must not, for its request is over; what stands behind never left.
    leave(*found);
    cut_from(index + 1, Outcome::connect_failed);
    entries_.pop_back();
    out_.clear();
    out_at_ = 0;
    offered_ = written_;
    state_ = State::closing;
    why_ = "a command was given up when a part of it was written";
    return;
  }
  found->forgotten = true;
  --waited_for_;
}

void Pipeline::put(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && state_ != State::broken) {
    used += decoder_.put(bytes.substr(used));
    if (decoder_.failed()) return break_off(decoder_.error());
    if (decoder_.done()) take(decoder_.take());
  }
}

void Pipeline::take(Value reply) {
  // A reply that nothing asked for, or that comes before its command is out, shows that the order is lost:
  // every one behind it could be another's.
  if (entries_.empty()) {
    if (reply.is_error() && state_ == State::ready) return break_off("told: " + words_of(reply.text));
    return break_off("a reply without a request");
  }
  if (entries_.front().end > written_) {
    if (!greeted() && reply.is_error()) return break_off("told: " + words_of(reply.text));
    return break_off("a reply before its request");
  }
  const Entry entry = std::move(entries_.front());
  entries_.pop_front();
  leave(entry);
  if (entry.role == Role::hello || entry.role == Role::auth)
    return greeted_with(entry.role, std::move(reply));
  if (entry.role == Role::store) return;
  if (entry.forgotten) {
    ++passed_over_;
    return;
  }
  ended_.push_back(read_reply(entry.attempt, entry.command, entry.options, std::move(reply), null_is_miss_));
}

void Pipeline::greeted_with(Role role, Value reply) {
  if (!reply.is_error()) {
    if (role == Role::hello) version_ = Version::resp3;
    state_ = State::ready;
    return;
  }
  const std::string_view word = first_word(reply.text);
  // A server from before RESP3 does not know the command, or not this version of it.
  if (role == Role::hello && (word == "NOPROTO" || word == "ERR") &&
      !reply.text.starts_with("ERR max number")) {
    if (rules_->password.empty()) {
      state_ = State::ready;
    } else {
      greet(false);
    }
    return;
  }
  break_off("greeting: " + words_of(reply.text));
}

void Pipeline::break_off(std::string why) {
  if (state_ == State::broken) return;
  why_ = std::move(why);
  // What had come whole before stands. What can't be read is the answer to the command at the front, if that
  // was out; of those behind it nobody will ever know.
  const bool spoils = greeted() && !entries_.empty() && entries_.front().end <= written_;
  if (spoils) {
    const Entry entry = std::move(entries_.front());
    entries_.pop_front();
    leave(entry);
    if (entry.role == Role::attempt && !entry.forgotten)
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
    leave(entry);
    if (entry.role != Role::attempt || entry.forgotten) continue;
    ended_.push_back({entry.attempt, entry.end <= written_ ? Outcome::reset : Outcome::connect_failed, {}});
  }
  out_.clear();
  out_at_ = 0;
}

}  // namespace streampick::resp
