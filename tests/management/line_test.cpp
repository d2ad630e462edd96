// An operator's line: its pieces, its end, its call.
#include "management/line.h"

#include <gtest/gtest.h>

#include <random>

namespace streampick::management::test {
namespace {

using State = LineReader::State;

Call call_of(std::string_view line) {
  const auto read = parse_call(line);
  const Call* call = std::get_if<Call>(&read);
  EXPECT_NE(call, nullptr) << line;
  return call != nullptr ? *call : Call{};
}
std::string mistake_of(std::string_view line) {
  const auto read = parse_call(line);
  const Mistake* mistake = std::get_if<Mistake>(&read);
  return mistake != nullptr ? mistake->why : "";
}

TEST(ManagementLine, EachCallIsRead) {
  EXPECT_EQ(call_of("HEALTH").kind, Call::Kind::health);
  EXPECT_EQ(call_of("DUMP").kind, Call::Kind::dump);
  EXPECT_EQ(call_of("LEAVE").kind, Call::Kind::leave);
  EXPECT_EQ(call_of("JOIN").kind, Call::Kind::join);
  EXPECT_EQ(call_of("FLEET").kind, Call::Kind::fleet);
  EXPECT_EQ(call_of("SHARES").kind, Call::Kind::shares);
  EXPECT_EQ(call_of("OFFLINE s-1").kind, Call::Kind::offline);
  EXPECT_EQ(call_of("  ONLINE \t s-5be2a07c  ").kind, Call::Kind::online);
  EXPECT_EQ(call_of("  ONLINE \t s-5be2a07c  ").id, "s-5be2a07c");
}

TEST(ManagementLine, WhatIsNoCallIsToldWhy) {
  EXPECT_EQ(mistake_of(""), "the line is empty");
  EXPECT_EQ(mistake_of(" \t "), "the line is empty");
  EXPECT_NE(mistake_of("health").find("no such call"), std::string::npos);
  EXPECT_NE(mistake_of("GET / HTTP/1.1").find("no such call"), std::string::npos);
  EXPECT_EQ(mistake_of("OFFLINE"), "OFFLINE takes the id of one cache server");
  EXPECT_EQ(mistake_of("ONLINE a b"), "ONLINE takes the id of one cache server");
  EXPECT_EQ(mistake_of("DUMP all"), "DUMP takes nothing behind it");
  EXPECT_EQ(mistake_of("OFFLINE " + std::string(257, 'x')), "an id has 256 bytes at most");
  EXPECT_EQ(mistake_of(std::string_view("LEAVE\0", 6)), "the line holds bytes that are no text");
  EXPECT_EQ(mistake_of("LEAVE\x7f"), "the line holds bytes that are no text");
}

TEST(ManagementLine, ItEndsWithLfOrCrLfInPiecesOfAnySize) {
  for (const std::string end : {"\n", "\r\n"})
    for (std::size_t piece = 1; piece <= 12; ++piece) {
      const std::string text = "OFFLINE s-1" + end + "more";
      LineReader reader;
      State state = State::open;
      for (std::size_t at = 0; at < text.size() && state == State::open; at += piece)
        state = reader.put(std::string_view(text).substr(at, piece));
      EXPECT_EQ(state, State::whole);
      EXPECT_EQ(reader.line(), "OFFLINE s-1") << piece;
    }
}

TEST(ManagementLine, WithoutAnEndItIsWholeWhenItsSenderStops) {
  LineReader reader;
  EXPECT_EQ(reader.put("HEAL"), State::open);
  EXPECT_EQ(reader.put("TH\r"), State::open);
  EXPECT_EQ(reader.end(), State::whole);
  EXPECT_EQ(reader.line(), "HEALTH");
  LineReader none;
  EXPECT_EQ(none.end(), State::open);
}

TEST(ManagementLine, OneByteTooManyIsTooLongAndNothingGrows) {
  const std::string longest(LineReader::kLongest, 'x');
  LineReader fits;
  EXPECT_EQ(fits.put(longest + "\r"), State::open);
  EXPECT_EQ(fits.put("\n"), State::whole);
  EXPECT_EQ(fits.line(), longest);
  LineReader over;
  EXPECT_EQ(over.put(longest + "x"), State::too_long);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(over.put(longest), State::too_long);
  EXPECT_LE(over.line().size(), LineReader::kLongest + 2);
}

// Whatever comes, in whatever pieces: one verdict, the same in one piece, within the bound.
TEST(ManagementLine, AnyBytesHaveOneVerdictHoweverTheyArePieced) {
  std::mt19937 random(20261201);
  const std::string letters = "HEALTH DUMPOFFLINE\t\r\n\0\x7f\xff s-1";
  for (int i = 0; i < 5'000; ++i) {
    std::string text;
    for (unsigned length = random() % 40; text.size() < length;) text += letters[random() % letters.size()];
    LineReader whole, pieces;
    const State at_once = whole.put(text);
    State state = State::open;
    for (std::size_t at = 0; at < text.size() && state == State::open;) {
      const std::size_t piece = 1 + random() % 5;
      state = pieces.put(std::string_view(text).substr(at, piece));
      at += piece;
    }
    ASSERT_EQ(state, at_once);
    if (state == State::whole) {
      ASSERT_EQ(pieces.line(), whole.line());
      const auto read = parse_call(whole.line());
      const Mistake* mistake = std::get_if<Mistake>(&read);
      ASSERT_TRUE(mistake == nullptr || !mistake->why.empty());
    }
  }
}

}  // namespace
}  // namespace streampick::management::test
