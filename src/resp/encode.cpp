#include "resp/encode.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>

namespace streampick::resp {
namespace {

constexpr std::string_view kEnd = "\r\n";

void line(char mark, std::string_view text, std::string& out) {
  out += mark;
  const std::size_t from = out.size();
  out += text;
  std::replace_if(
      out.begin() + static_cast<std::ptrdiff_t>(from), out.end(),
      [](char c) { return c == '\r' || c == '\n'; }, ' ');
  out += kEnd;
}

void head(char mark, std::size_t count, std::string& out) {
  out += mark;
  append_number(static_cast<std::int64_t>(count), out);
  out += kEnd;
}

void blob(char mark, std::string_view text, std::string& out) {
  head(mark, text.size(), out);
  out += text;
  out += kEnd;
}

std::string real_text(double value) {
  if (std::isnan(value)) return "nan";
  if (std::isinf(value)) return value > 0 ? "inf" : "-inf";
  std::array<char, 32> text{};
  return {text.data(), std::to_chars(text.data(), text.data() + text.size(), value).ptr};
}

void items(const std::vector<Value>& all, Version version, std::string& out) {
  for (const Value& item : all) encode(item, version, out);
}

}  // namespace

void append_number(std::int64_t number, std::string& out) {
  std::array<char, 24> text{};
  out.append(text.data(), std::to_chars(text.data(), text.data() + text.size(), number).ptr);
}

void encode(const Value& value, Version version, std::string& out) {
  const bool three = version == Version::resp3;
  if (three && value.attributes && !value.attributes->empty()) {
    head('|', value.attributes->size() / 2, out);
    items(*value.attributes, version, out);
  }
  switch (value.type) {
    case Type::simple: return line('+', value.text, out);
    case Type::error: return line('-', value.text, out);
    case Type::number:
      out += ':';
      append_number(value.number, out);
      out += kEnd;
      return;
    case Type::blob: return blob('$', value.text, out);
    case Type::array: head('*', value.items.size(), out); return items(value.items, version, out);
    case Type::null: out += three ? "_\r\n" : "$-1\r\n"; return;
    case Type::real:
      return three ? line(',', real_text(value.real), out) : blob('$', real_text(value.real), out);
    case Type::boolean:
      if (three) return line('#', value.boolean ? "t" : "f", out);
      out += value.boolean ? ":1\r\n" : ":0\r\n";
      return;
    case Type::blob_error: return three ? blob('!', value.text, out) : line('-', value.text, out);
    case Type::verbatim:
      if (!three) return blob('$', value.text, out);
      head('=', value.text.size() + 4, out);
      out += value.format.size() == 3 ? value.format : "txt";
      out += ':';
      out += value.text;
      out += kEnd;
      return;
    case Type::big_number: return three ? line('(', value.text, out) : blob('$', value.text, out);
    case Type::map:
      head(three ? '%' : '*', three ? value.items.size() / 2 : value.items.size(), out);
      return items(value.items, version, out);
    case Type::set: head(three ? '~' : '*', value.items.size(), out); return items(value.items, version, out);
    case Type::push:
      head(three ? '>' : '*', value.items.size(), out);
      return items(value.items, version, out);
  }
}

void encode_command(const std::vector<std::string_view>& words, std::string& out) {
  head('*', words.size(), out);
  for (const std::string_view word : words) blob('$', word, out);
}

bool operator==(const Value& a, const Value& b) {
  const bool reals = a.real == b.real || (std::isnan(a.real) && std::isnan(b.real));
  const bool both = static_cast<bool>(a.attributes) == static_cast<bool>(b.attributes);
  return a.type == b.type && a.boolean == b.boolean && a.number == b.number && reals && a.text == b.text &&
         a.format == b.format && a.items == b.items && both &&
         (!a.attributes || *a.attributes == *b.attributes);
}

}  // namespace streampick::resp
