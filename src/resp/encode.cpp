#include "resp/encode.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>

namespace streampick::resp {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

void append_line(char marker, std::string_view text, std::string& out) {
  out += marker;
  const std::size_t from = out.size();
  out += text;
  std::replace_if(
      out.begin() + static_cast<std::ptrdiff_t>(from), out.end(),
      [](char c) { return c == '\r' || c == '\n'; }, ' ');
  out += kLineEnd;
}

void append_header(char marker, std::size_t count, std::string& out) {
  out += marker;
  append_number(static_cast<std::int64_t>(count), out);
  out += kLineEnd;
}

void append_blob(char marker, std::string_view text, std::string& out) {
  append_header(marker, text.size(), out);
  out += text;
  out += kLineEnd;
}

std::string real_text(double value) {
  if (std::isnan(value)) return "nan";
  if (std::isinf(value)) return value > 0 ? "inf" : "-inf";
  std::array<char, 32> text{};
  return {text.data(), std::to_chars(text.data(), text.data() + text.size(), value).ptr};
}

void append_items(const std::vector<Value>& all, Version version, std::string& out) {
  for (const Value& item : all) encode(item, version, out);
}

}  // namespace

void append_number(std::int64_t number, std::string& out) {
  std::array<char, 24> text{};
  out.append(text.data(), std::to_chars(text.data(), text.data() + text.size(), number).ptr);
}

void encode(const Value& value, Version version, std::string& out) {
  const bool is_resp3 = version == Version::resp3;
  if (is_resp3 && value.attributes && !value.attributes->empty()) {
    append_header('|', value.attributes->size() / 2, out);
    append_items(*value.attributes, version, out);
  }
  switch (value.type) {
    case Type::simple: return append_line('+', value.text, out);
    case Type::error: return append_line('-', value.text, out);
    case Type::number:
      out += ':';
      append_number(value.number, out);
      out += kLineEnd;
      return;
    case Type::blob: return append_blob('$', value.text, out);
    case Type::array:
      append_header('*', value.items.size(), out);
      return append_items(value.items, version, out);
    case Type::null: out += is_resp3 ? "_\r\n" : "$-1\r\n"; return;
    case Type::real:
      return is_resp3 ? append_line(',', real_text(value.real), out)
                      : append_blob('$', real_text(value.real), out);
    case Type::boolean:
      if (is_resp3) return append_line('#', value.boolean ? "t" : "f", out);
      out += value.boolean ? ":1\r\n" : ":0\r\n";
      return;
    case Type::blob_error:
      return is_resp3 ? append_blob('!', value.text, out) : append_line('-', value.text, out);
    case Type::verbatim:
      if (!is_resp3) return append_blob('$', value.text, out);
      append_header('=', value.text.size() + 4, out);
      out += value.format.size() == 3 ? value.format : "txt";
      out += ':';
      out += value.text;
      out += kLineEnd;
      return;
    case Type::big_number:
      return is_resp3 ? append_line('(', value.text, out) : append_blob('$', value.text, out);
    case Type::map:
      append_header(is_resp3 ? '%' : '*', is_resp3 ? value.items.size() / 2 : value.items.size(), out);
      return append_items(value.items, version, out);
    case Type::set:
      append_header(is_resp3 ? '~' : '*', value.items.size(), out);
      return append_items(value.items, version, out);
    case Type::push:
      append_header(is_resp3 ? '>' : '*', value.items.size(), out);
      return append_items(value.items, version, out);
  }
}

void encode_command(const std::vector<std::string_view>& words, std::string& out) {
  append_header('*', words.size(), out);
  for (const std::string_view word : words) append_blob('$', word, out);
}

bool operator==(const Value& a, const Value& b) {
  const bool reals = a.real == b.real || (std::isnan(a.real) && std::isnan(b.real));
  const bool both = static_cast<bool>(a.attributes) == static_cast<bool>(b.attributes);
  return a.type == b.type && a.boolean == b.boolean && a.number == b.number && reals && a.text == b.text &&
         a.format == b.format && a.items == b.items && both &&
         (!a.attributes || *a.attributes == *b.attributes);
}

}  // namespace streampick::resp
