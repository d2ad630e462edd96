#include "resp/decode.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <limits>
#include <utility>

namespace streampick::resp {
namespace {

constexpr std::size_t kMaxReserve = 16 * 1024;

std::optional<std::int64_t> to_integer(std::string_view text) {
  if (!text.empty() && text.front() == '+') {
    text.remove_prefix(1);
    if (!text.empty() && text.front() == '-') return std::nullopt;
  }
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Parses a length or a count, which may hold digits only.
std::optional<std::size_t> to_size(std::string_view text) {
  if (text.empty() || text.find_first_not_of("0123456789") != std::string_view::npos) return std::nullopt;
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<double> to_real(std::string_view text) {
  if (text == "inf" || text == "+inf") return std::numeric_limits<double>::infinity();
  if (text == "-inf") return -std::numeric_limits<double>::infinity();
  if (text == "nan" || text == "-nan") return std::numeric_limits<double>::quiet_NaN();
  if (!text.empty() && text.front() == '+') text.remove_prefix(1);
  const std::size_t first = text.find_first_not_of('-');
  if (first == std::string_view::npos || first > 1 || text[first] < '0' || text[first] > '9')
    return std::nullopt;
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (end != text.data() + text.size() || (error != std::errc{} && error != std::errc::result_out_of_range))
    return std::nullopt;
  return value;
}

bool is_big_number(std::string_view text) {
  if (!text.empty() && (text.front() == '-' || text.front() == '+')) text.remove_prefix(1);
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

// Returns the byte at `at` within a quoted string, with escapes resolved, and moves `at` past it.
char inline_byte(std::string_view line, std::size_t& at, char quote) {
  const char c = line[at++];
  if (c != '\\' || at == line.size()) return c;
  const char next = line[at];
  if (quote == '\'' && next != '\'') return c;
  ++at;
  if (quote == '\'') return next;
  switch (next) {
    case 'n': return '\n';
    case 'r': return '\r';
    case 't': return '\t';
    case 'a': return '\a';
    case 'b': return '\b';
    case 'x': break;
    default: return next;
  }
  if (at + 1 >= line.size() || hex_digit(line[at]) < 0 || hex_digit(line[at + 1]) < 0) return next;
  const int byte = hex_digit(line[at]) * 16 + hex_digit(line[at + 1]);
  at += 2;
  return static_cast<char>(byte);
}

Type aggregate_type(char marker) {
  switch (marker) {
    case '%':
    case '|': return Type::map;
    case '~': return Type::set;
    case '>': return Type::push;
    default: return Type::array;
  }
}

}  // namespace

void Decoder::fail(std::string why) {
  if (error_.empty()) error_ = std::move(why);
}

Value Decoder::take() {
  done_ = false;
  return std::move(value_);  // complete() assigns the moved-from value before its next use
}

std::vector<Value> Decoder::take_pushes() { return std::exchange(pushes_, {}); }

std::size_t Decoder::put(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !done_ && error_.empty()) {
    const std::string_view rest = bytes.substr(used);
    if (state_ == State::payload) {
      const std::size_t part = std::min(payload_remaining_, rest.size());
      payload_.text.append(rest.data(), part);
      payload_remaining_ -= part;
      used += part;
      if (payload_remaining_ == 0) {
        state_ = State::payload_end;
        terminator_bytes_ = 0;
      }
      continue;
    }
    if (state_ == State::payload_end) {
      if (rest.front() != (terminator_bytes_ == 0 ? '\r' : '\n')) {
        fail("a blob is not followed by a line's end");
        break;
      }
      ++used;
      if (++terminator_bytes_ == 2) {
        state_ = State::line;
        end_payload();
      }
      continue;
    }
    const void* found = std::memchr(rest.data(), '\n', rest.size());
    if (found == nullptr) {
      if (line_.size() + rest.size() >
          limits_.line + 1) {  // the last byte may be the CR, which does not count
        fail("a line is too long");
        break;
      }
      line_ += rest;
      return bytes.size();
    }
    const std::size_t length = static_cast<std::size_t>(static_cast<const char*>(found) - rest.data());
    used += length + 1;
    if (line_.size() + length > limits_.line + 1) {
      fail("a line is too long");
      break;
    }
    if (line_.empty()) {
      take_line(rest.substr(0, length));
    } else {
      line_ += rest.substr(0, length);
      const std::string line = std::exchange(line_, {});
      take_line(line);
    }
  }
  return used;
}

// `line` does not include its '\n'.
void Decoder::take_line(std::string_view line) {
  const bool ends_with_cr = !line.empty() && line.back() == '\r';
  if (ends_with_cr) line.remove_suffix(1);
  constexpr std::string_view markers = "+-:$*_,#!=(%~>|;.";
  const char marker = line.empty() ? '\0' : line.front();
  const bool at_top_level = stack_.empty() && !streamed_blob_ && !attributes_;
  if (limits_.inline_commands && at_top_level && marker != '*' && marker != '|') return take_inline(line);
  if (!ends_with_cr) return fail("a line does not end in CR LF");
  if (line.empty() || markers.find(marker) == std::string_view::npos) return fail("no type begins like this");
  if (limits_.commands_only && stack_.empty() && !streamed_blob_ && marker != '*' && marker != '|')
    return fail("a command must be an array");
  const std::string_view text = line.substr(1);
  if (text.find('\r') != std::string_view::npos) return fail("a line holds a CR");
  if (streamed_blob_ && marker != ';') return fail("a streamed blob is interrupted");

  switch (marker) {
    case '+':
    case '-':
      if (!count_bytes(text.size())) return;
      return complete(Value::of(marker == '+' ? Type::simple : Type::error, std::string(text)));
    case ':': {
      const auto number = to_integer(text);
      if (!number) return fail("a number can't be read");
      return complete(Value::integer(*number));
    }
    case ',': {
      const auto real = to_real(text);
      if (!real) return fail("a double can't be read");
      Value value = Value::of(Type::real);
      value.real = *real;
      return complete(std::move(value));
    }
    case '#': {
      if (text != "t" && text != "f") return fail("a boolean is t or f");
      Value value = Value::of(Type::boolean);
      value.boolean = text == "t";
      return complete(std::move(value));
    }
    case '_':
      if (!text.empty()) return fail("a null holds nothing");
      return complete(Value::null());
    case '(':
      if (!is_big_number(text)) return fail("a big number can't be read");
      if (!count_bytes(text.size())) return;
      return complete(Value::of(Type::big_number, std::string(text)));
    case '$': return begin_blob(Type::blob, text);
    case '!': return begin_blob(Type::blob_error, text);
    case '=': return begin_blob(Type::verbatim, text);
    case ';': {
      if (!streamed_blob_) return fail("a part of no blob");
      const auto length = to_size(text);
      if (!length) return fail("a length can't be read");
      if (*length == 0) {
        streamed_blob_ = false;
        return complete(std::move(payload_));
      }
      if (*length > limits_.blob || payload_.text.size() + *length > limits_.blob)
        return fail("a blob is too long");
      if (!count_bytes(*length)) return;
      payload_remaining_ = *length;
      state_ = State::payload;
      return;
    }
    case '.': {
      if (!text.empty() || stack_.empty() || !stack_.back().streamed || stack_.back().next_attributes)
        return fail("an end of no streamed aggregate");
      const Frame& frame = stack_.back();
      if (frame.value.type == Type::map && frame.value.items.size() % 2 != 0)
        return fail("a map ends between a key and its value");
      complete_frame();
      return;
    }
    default: return begin_aggregate(marker, text);
  }
}

// Splits an inline command into words at spaces. A quoted part of a word may hold spaces. Double quotes
// support the escapes \n \r \t \a \b and \xHH, single quotes only \'. A word ends at its closing quote.
void Decoder::take_inline(std::string_view line) {
  constexpr std::string_view spaces = " \t\r\v\f";
  std::vector<Value> words;
  for (std::size_t at = line.find_first_not_of(spaces); at < line.size();
       at = line.find_first_not_of(spaces, at)) {
    std::string word;
    while (at < line.size() && spaces.find(line[at]) == std::string_view::npos) {
      const char quote = line[at++];
      if (quote != '"' && quote != '\'') {
        word += quote;
        continue;
      }
      while (at < line.size() && line[at] != quote) word += inline_byte(line, at, quote);
      if (at == line.size() || (++at < line.size() && spaces.find(line[at]) == std::string_view::npos))
        return fail("unbalanced quotes");
      break;
    }
    if (!count_items(1) || !count_bytes(word.size())) return;
    words.push_back(Value::blob(std::move(word)));
  }
  if (words.empty()) return;  // an empty line is ignored
  complete(Value::array(std::move(words)));
}

void Decoder::begin_blob(Type type, std::string_view length_text) {
  if (type == Type::blob && length_text == "-1") return complete(Value::null());
  // The previous content was moved away, so only the fields of a blob need a reset.
  payload_.type = type;
  payload_.text.clear();
  payload_.format.clear();
  if (type == Type::blob && length_text == "?") {
    streamed_blob_ = true;
    return;
  }
  const auto length = to_size(length_text);
  if (!length) return fail("a length can't be read");
  if (*length > limits_.blob) return fail("a blob is too long");
  if (!count_bytes(*length)) return;
  payload_.text.reserve(std::min(*length, kMaxReserve));
  payload_remaining_ = *length;
  state_ = *length > 0 ? State::payload : State::payload_end;
  terminator_bytes_ = 0;
}

void Decoder::end_payload() {
  if (streamed_blob_) return;  // the line of the next chunk follows
  if (payload_.type == Type::verbatim) {
    if (payload_.text.size() < 4 || payload_.text[3] != ':')
      return fail("a verbatim text without its format");
    payload_.format = payload_.text.substr(0, 3);
    payload_.text.erase(0, 4);
  }
  complete(std::move(payload_));
}

void Decoder::begin_aggregate(char marker, std::string_view count_text) {
  if (marker == '*' && count_text == "-1") return complete(Value::null());
  Frame frame;
  frame.value.type = aggregate_type(marker);
  frame.attributes = marker == '|';
  if (count_text == "?" && marker != '|' && marker != '>') {
    frame.streamed = true;
  } else {
    const auto count = to_size(count_text);
    if (!count) return fail("a count can't be read");
    if (*count > limits_.items) return fail("an aggregate is too long");
    frame.remaining = frame.value.type == Type::map ? *count * 2 : *count;
    if (!count_items(frame.remaining)) return;
  }
  if (stack_.size() >= limits_.depth) return fail("aggregates are nested too deeply");
  const bool empty = !frame.streamed && frame.remaining == 0;
  stack_.push_back(std::move(frame));
  if (empty) complete_frame();
}

// Completes the frame on top of the stack. Returns whether this completes the top-level value.
bool Decoder::complete_frame() {
  Frame frame = std::move(stack_.back());
  stack_.pop_back();
  if (frame.attributes) {
    auto& waiting = stack_.empty() ? attributes_ : stack_.back().next_attributes;
    if (!waiting) waiting = std::make_unique<std::vector<Value>>();
    std::move(frame.value.items.begin(), frame.value.items.end(), std::back_inserter(*waiting));
    return false;
  }
  if (frame.value.type == Type::push && !within_push()) {
    ++push_count_;
    if (pushes_.size() < limits_.pushes) pushes_.push_back(std::move(frame.value));
    if (stack_.empty()) bytes_ = items_ = 0;
    return false;
  }
  complete(std::move(frame.value));
  return done_;
}

bool Decoder::within_push() const {
  return std::any_of(stack_.begin(), stack_.end(),
                     [](const Frame& frame) { return frame.value.type == Type::push; });
}

// Adds a complete value to its aggregate, and completes that aggregate if this was its last element.
void Decoder::complete(Value&& value) {
  if (stack_.empty()) {
    value.attributes = std::move(attributes_);
    value_ = std::move(value);
    done_ = true;
    bytes_ = items_ = 0;
    return;
  }
  Frame& frame = stack_.back();
  if (frame.streamed && !count_items(1)) return;
  value.attributes = std::move(frame.next_attributes);
  frame.value.items.push_back(std::move(value));
  if (!frame.streamed && --frame.remaining == 0) complete_frame();
}

bool Decoder::count_bytes(std::size_t more) {
  bytes_ += more;
  if (bytes_ <= limits_.bytes) return true;
  fail("a value is too large");
  return false;
}

bool Decoder::count_items(std::size_t more) {
  items_ += more;
  if (items_ <= limits_.items) return true;
  fail("a value has too many elements");
  return false;
}

}  // namespace streampick::resp
