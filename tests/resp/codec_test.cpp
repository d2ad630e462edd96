// Tests of the codec: all types, input split at any position, limits, and invalid input.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cmath>
#include <limits>

#include "print.h"
#include "resp/decode.h"
#include "resp/encode.h"

namespace streampick::resp::test {
namespace {

// Decodes all values in `bytes`, in parts of `step` bytes. `error` receives the error of the decoder, if any.
std::vector<Value> decode_all(std::string_view bytes, std::size_t step, const Limits& limits,
                              std::string* error = nullptr) {
  Decoder decoder(limits);
  std::vector<Value> out;
  while (!bytes.empty()) {
    std::string_view part = bytes.substr(0, step);
    bytes.remove_prefix(part.size());
    while (!part.empty()) {
      const std::size_t used = decoder.put(part);
      part.remove_prefix(used);
      if (decoder.failed()) {
        if (error != nullptr) *error = decoder.error();
        return out;
      }
      if (decoder.done()) {
        out.push_back(decoder.take());
      } else if (used == 0) {
        ADD_FAILURE() << "the decoder consumed no bytes and completed no value";
        return out;
      }
    }
  }
  if (error != nullptr) *error = decoder.is_idle() ? "" : "not whole";
  return out;
}

std::string encoded(const Value& value, Version version = Version::resp3) {
  std::string out;
  encode(value, version, out);
  return out;
}

Value decode_one(std::string_view bytes) {
  std::string error;
  auto all = decode_all(bytes, bytes.size(), {}, &error);
  EXPECT_EQ(error, "") << bytes;
  EXPECT_EQ(all.size(), 1U) << bytes;
  return all.empty() ? Value{} : std::move(all.front());
}

std::string error_of(std::string_view bytes, const Limits& limits = {}) {
  std::string error;
  decode_all(bytes, 7, limits, &error);
  return error;
}

TEST(RespCodec, EachType_IsDecodedAsSpecified) {
  EXPECT_EQ(decode_one("+hello world\r\n"), Value::simple("hello world"));
  EXPECT_EQ(decode_one("-ERR this is the error\r\n"), Value::error("ERR this is the error"));
  EXPECT_EQ(decode_one(":1234\r\n"), Value::integer(1234));
  EXPECT_EQ(decode_one(":+5\r\n"), Value::integer(5));
  EXPECT_EQ(decode_one(":-9223372036854775808\r\n"),
            Value::integer(std::numeric_limits<std::int64_t>::min()));
  EXPECT_EQ(decode_one("$10\r\nhello\r\nrld\r\n"), Value::blob("hello\r\nrld"));
  EXPECT_EQ(decode_one("$0\r\n\r\n"), Value::blob(""));
  EXPECT_TRUE(decode_one("_\r\n").is_null());
  EXPECT_TRUE(decode_one("$-1\r\n").is_null());
  EXPECT_TRUE(decode_one("*-1\r\n").is_null());
  EXPECT_EQ(decode_one(",1.23\r\n").real, 1.23);
  EXPECT_EQ(decode_one(",10\r\n").real, 10);
  EXPECT_EQ(decode_one(",-inf\r\n").real, -std::numeric_limits<double>::infinity());
  EXPECT_TRUE(std::isnan(decode_one(",nan\r\n").real));
  EXPECT_TRUE(decode_one("#t\r\n").boolean);
  EXPECT_FALSE(decode_one("#f\r\n").boolean);
  EXPECT_EQ(decode_one("!21\r\nSYNTAX invalid syntax\r\n"),
            Value::of(Type::blob_error, "SYNTAX invalid syntax"));
  const Value verbatim = decode_one("=15\r\ntxt:Some string\r\n");
  EXPECT_EQ(verbatim.text, "Some string");
  EXPECT_EQ(verbatim.format, "txt");
  EXPECT_EQ(decode_one("(3492890328409238509324850943850943825024385\r\n").text,
            "3492890328409238509324850943850943825024385");
  EXPECT_EQ(decode_one("*3\r\n:1\r\n:2\r\n:3\r\n").items.size(), 3U);
  EXPECT_EQ(decode_one("*0\r\n").items.size(), 0U);
  EXPECT_EQ(decode_one("%2\r\n+first\r\n:1\r\n+second\r\n:2\r\n").items.size(), 4U);
  EXPECT_EQ(decode_one("~2\r\n+orange\r\n+apple\r\n").type, Type::set);
}

TEST(RespCodec, StreamedStringsAndAggregates_AreDecodedAsCompleteValues) {
  EXPECT_EQ(decode_one("$?\r\n;4\r\nHell\r\n;5\r\no wor\r\n;1\r\nd\r\n;0\r\n"), Value::blob("Hello word"));
  const Value list = decode_one("*?\r\n:1\r\n*?\r\n.\r\n$?\r\n;0\r\n.\r\n");
  ASSERT_EQ(list.items.size(), 3U);
  EXPECT_EQ(list.items[2], Value::blob(""));
  EXPECT_EQ(decode_one("%?\r\n+a\r\n:1\r\n.\r\n").items.size(), 2U);
  EXPECT_EQ(error_of("%?\r\n+a\r\n.\r\n"), "a map ends between a key and its value");
}

TEST(RespCodec, Attributes_AreAttachedToTheNextValue) {
  const Value value = decode_one("*2\r\n|1\r\n+ttl\r\n:3600\r\n+a\r\n+b\r\n");
  ASSERT_EQ(value.items.size(), 2U);
  ASSERT_TRUE(value.items[0].attributes);
  EXPECT_EQ((*value.items[0].attributes)[1], Value::integer(3600));
  EXPECT_FALSE(value.items[1].attributes);
  EXPECT_TRUE(decode_one("|1\r\n+a\r\n+b\r\n:1\r\n").attributes);
}

TEST(RespCodec, PushesAtAnyPosition_AreNotPartOfAReply) {
  const std::string push = ">2\r\n+invalidate\r\n*1\r\n$1\r\nk\r\n";
  for (const std::string& bytes : {push + "+a\r\n+b\r\n", "+a\r\n" + push + "+b\r\n", "+a\r\n+b\r\n" + push,
                                   push + push + "+a\r\n+b\r\n"})
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
      const auto all = decode_all(bytes, step, {});
      ASSERT_EQ(all.size(), 2U);
      EXPECT_EQ(all[0].text + all[1].text, "ab");
    }
  Decoder decoder;
  const std::string inside = "*2\r\n+a\r\n" + push + "+b\r\n";
  decoder.put(inside);
  ASSERT_TRUE(decoder.done());
  EXPECT_EQ(decoder.take().items.size(), 2U);
  EXPECT_EQ(decoder.pushes(), 1U);
  ASSERT_EQ(decoder.take_pushes().size(), 1U);
}

TEST(RespCodec, PushesThatAreNotTaken_AreCountedAndDropped) {
  Limits limits;
  limits.pushes = 4;
  Decoder decoder(limits);
  for (int i = 0; i < 1'000; ++i) decoder.put(">1\r\n+x\r\n");
  EXPECT_EQ(decoder.pushes(), 1'000U);
  EXPECT_EQ(decoder.take_pushes().size(), 4U);
}

TEST(RespCodec, InlineCommand_IsSplitAtSpacesOutsideQuotes) {
  Limits limits;
  limits.inline_commands = limits.commands_only = true;
  const auto all = decode_all("\r\nGET  key\r\nSET k \"a b\\n\"\nPING\r\n*1\r\n$4\r\nPING\r\n", 3, limits);
  ASSERT_EQ(all.size(), 4U);
  EXPECT_EQ(all[0].items[1].text, "key");
  EXPECT_EQ(all[1].items[2].text, "a b\n");
  EXPECT_EQ(all[3].items[0].text, "PING");
  EXPECT_EQ(error_of("GET \"a\r\n", limits), "unbalanced quotes");
  EXPECT_EQ(error_of("GET \"a\"b\r\n", limits), "unbalanced quotes");
}

TEST(RespCodec, InlineQuotes_SupportTheirEscapes) {
  Limits limits;
  limits.inline_commands = limits.commands_only = true;
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"("a\x41\x7a")", "aAz"},      {R"("\x00")", std::string(1, '\0')},
      {R"("\xg1\x4")", "xg1x4"},      {R"("\a\b\t\\\"")", "\a\b\t\\\""},
      {R"('a\x41\n')", R"(a\x41\n)"}, {R"('it\'s "so"')", R"(it's "so")"},
      {R"(k"a b")", "ka b"},          {R"("")", ""},
  };
  for (const auto& [text, bytes] : cases) {
    const auto all = decode_all("ECHO " + text + "\r\n", 3, limits);
    ASSERT_EQ(all.size(), 1U) << text;
    ASSERT_EQ(all[0].items.size(), 2U) << text;
    EXPECT_EQ(all[0].items[1].text, bytes) << text;
  }
  for (const char* wrong : {"'a", "'a\\'", "\"a\\\"", "'a'b", "\"a\"'b'", "x'a'b"})
    EXPECT_EQ(error_of(std::string("ECHO ") + wrong + "\r\n", limits), "unbalanced quotes") << wrong;
}

TEST(RespCodec, AnnouncedLengthAboveALimit_IsRejected) {
  EXPECT_EQ(error_of("$536870912\r\n"), "a blob is too long");
  EXPECT_EQ(error_of("$?\r\n;99999999\r\n"), "a blob is too long");
  EXPECT_EQ(error_of("*1000000000\r\n"), "an aggregate is too long");
  EXPECT_EQ(error_of("%2049\r\n"), "a value has too many elements");  // pairs count twice
  std::string deep;
  for (int i = 0; i < 10'000; ++i) deep += "*1\r\n";
  EXPECT_EQ(error_of(deep), "aggregates are nested too deeply");
  EXPECT_EQ(error_of("+" + std::string(10'000, 'x')), "a line is too long");
  EXPECT_EQ(error_of("$" + std::string(10'000, '1') + "\r\n"), "a line is too long");
  EXPECT_EQ(error_of("*?\r\n" +
                     [] {
                       std::string all;
                       for (int i = 0; i < 5'000; ++i) all += "$0\r\n\r\n";
                       return all;
                     }()),
            "a value has too many elements");
  Limits wide;
  wide.items = 2'000'000;
  wide.blob = 10;
  wide.bytes = 100;
  std::string million = "*1000000\r\n";
  for (int i = 0; i < 1'000'000; ++i) million += "$0\r\n\r\n";
  EXPECT_EQ(error_of(million),
            "an aggregate is too long");  // the default limits reject the announced count at once
  EXPECT_EQ(error_of(
                "*20\r\n" +
                    [] {
                      std::string all;
                      for (int i = 0; i < 20; ++i) all += "$10\r\n0123456789\r\n";
                      return all;
                    }(),
                wide),
            "a value is too large");
}

TEST(RespCodec, LineOfMaximumLength_IsDecodedInOnePartAndInMany) {
  Limits limits;
  limits.line = 16;
  for (std::size_t length = 10; length < 24; ++length) {
    const std::string bytes = "+" + std::string(length, 'x') + "\r\n";
    std::string once, many;
    EXPECT_EQ(decode_all(bytes, bytes.size(), limits, &once), decode_all(bytes, 1, limits, &many));
    EXPECT_EQ(once, many) << length;
    EXPECT_EQ(once.empty(), length < 16) << length;
  }
}

TEST(RespCodec, InvalidInput_IsRejected) {
  for (const char* bytes : {"hello\r\n",
                            "\r\n",
                            "+a\n",
                            ":\r\n",
                            ":1a\r\n",
                            ":99999999999999999999\r\n",
                            ":+-5\r\n",
                            "$-2\r\n",
                            "$+1\r\na\r\n",
                            "$1\r\nab\r\n",
                            "$ 1\r\na\r\n",
                            "*-2\r\n",
                            "#x\r\n",
                            "#\r\n",
                            "_x\r\n",
                            ",1e\r\n",
                            ",\r\n",
                            ",0x10\r\n",
                            "(12a\r\n",
                            "(\r\n",
                            "=3\r\ntxt\r\n",
                            "=5\r\ntextx\r\n",
                            ";3\r\nabc\r\n",
                            ".\r\n",
                            "*1\r\n.\r\n",
                            "$?\r\n+a\r\n",
                            ">?\r\n",
                            "+a\rb\r\n",
                            "*?\r\n|1\r\n+a\r\n+b\r\n.\r\n"})
    EXPECT_NE(error_of(bytes), "") << bytes;
}

TEST(RespCodec, Resp3Types_AreEncodedForResp2) {
  Value map = Value::of(Type::map);
  map.items.push_back(Value::simple("a"));
  Value yes = Value::of(Type::boolean);
  yes.boolean = true;
  map.items.push_back(std::move(yes));
  EXPECT_EQ(encoded(map, Version::resp2), "*2\r\n+a\r\n:1\r\n");
  EXPECT_EQ(encoded(Value::null(), Version::resp2), "$-1\r\n");
  Value real = Value::of(Type::real);
  real.real = 1.5;
  EXPECT_EQ(encoded(real, Version::resp2), "$3\r\n1.5\r\n");
  EXPECT_EQ(encoded(Value::error("ERR a\r\n+OK"), Version::resp2),
            "-ERR a  +OK\r\n");  // line breaks become spaces
}

// ---- Properties

Value made(Type type, const std::string& text, std::int64_t number, double real, bool boolean,
           std::vector<Value> items, std::vector<Value> attributes) {
  Value out = Value::of(type);
  switch (type) {
    case Type::number: out.number = number; break;
    case Type::real: out.real = real; break;
    case Type::boolean: out.boolean = boolean; break;
    case Type::null: break;
    case Type::big_number:
      out.text =
          (number < 0 ? "-" : "") + std::to_string(number < 0 ? -(number + 1) : number) + "000111222333";
      break;
    case Type::verbatim:
      out.text = text;
      out.format = "mkd";
      break;
    case Type::simple:
    case Type::error:
      for (const char c : text) out.text += c == '\r' || c == '\n' ? '.' : c;
      break;
    case Type::blob:
    case Type::blob_error: out.text = text; break;
    case Type::map:
      if (items.size() % 2 != 0) items.pop_back();
      out.items = std::move(items);
      break;
    default: out.items = std::move(items);
  }
  if (attributes.size() >= 2) {
    if (attributes.size() % 2 != 0) attributes.pop_back();
    out.attributes = std::make_unique<std::vector<Value>>(std::move(attributes));
  }
  return out;
}

// Generates a value from a sequence of pseudo-random numbers. Value can't be copied, as rapidcheck's
// generators require.
Value random_value(std::uint64_t& seed, int depth) {
  const auto next = [&seed] {
    seed = seed * 6364136223846793005U + 1442695040888963407U;
    return seed >> 33U;
  };
  constexpr std::array types = {
      Type::simple,     Type::error,    Type::number,     Type::blob,  Type::null, Type::real, Type::boolean,
      Type::blob_error, Type::verbatim, Type::big_number, Type::array, Type::map,  Type::set};
  const std::size_t choices = depth > 0 ? types.size() : types.size() - 3;
  const Type type = types[next() % choices];
  std::string text;
  for (std::uint64_t i = next() % 20; i > 0; --i) text += static_cast<char>(next());
  std::vector<Value> items, attributes;
  if (depth > 0)
    for (std::uint64_t i = next() % 5; i > 0; --i) items.push_back(random_value(seed, depth - 1));
  if (depth > 0 && next() % 4 == 0)
    for (int i = 0; i < 2; ++i) attributes.push_back(random_value(seed, 0));
  const auto number = static_cast<std::int64_t>(next() * next());
  const double real = next() % 8 == 0 ? std::numeric_limits<double>::infinity()
                                      : static_cast<double>(number) / static_cast<double>(next() + 1);
  return made(type, text, next() % 2 == 0 ? -number : number, real, next() % 2 == 0, std::move(items),
              std::move(attributes));
}

RC_GTEST_PROP(RespCodecProperty, EncodedValue_DecodesToAnEqualValue, (std::uint64_t seed)) {
  const Value value = random_value(seed, 3);
  const std::string bytes = encoded(value);
  std::string error;
  const auto all = decode_all(bytes, bytes.size(), {}, &error);
  RC_ASSERT(error.empty());
  RC_ASSERT(all.size() == 1U);
  RC_ASSERT(all.front() == value);
  RC_ASSERT(encoded(all.front()) == bytes);
}

RC_GTEST_PROP(RespCodecProperty, SplitInput_DecodesToTheSameValues, (std::uint64_t seed)) {
  std::string bytes;
  std::vector<Value> values;
  for (int i = 0; i < 3; ++i) {
    values.push_back(random_value(seed, 2));
    bytes += encoded(values.back());
  }
  for (std::size_t at = 1; at < bytes.size(); ++at) {
    Decoder decoder;
    std::vector<Value> out;
    for (std::string_view part : {std::string_view(bytes).substr(0, at), std::string_view(bytes).substr(at)})
      while (!part.empty()) {
        part.remove_prefix(decoder.put(part));
        RC_ASSERT(!decoder.failed());
        if (decoder.done()) out.push_back(decoder.take());
      }
    RC_ASSERT(out == values);
  }
}

RC_GTEST_PROP(RespCodecProperty, ArbitraryInput_DecodesEquallyInOnePartAndInMany,
              (std::string bytes, std::uint8_t step)) {
  std::string once, many;
  const auto a = decode_all(bytes, bytes.size() + 1, {}, &once);
  const auto b = decode_all(bytes, step % 5U + 1U, {}, &many);
  RC_ASSERT(a == b);
  RC_ASSERT(once == many);
}

}  // namespace
}  // namespace streampick::resp::test
