// The management protocol: lines in pieces, line ends and commands.
#include "management/command.h"

#include <gtest/gtest.h>

#include <random>

namespace streampick::management::test {
namespace {

using State = LineReader::State;

Command command_of(std::string_view line) {
  const auto parsed = parse_command(line);
  const Command* command = std::get_if<Command>(&parsed);
  EXPECT_NE(command, nullptr) << line;
  return command != nullptr ? *command : Command{};
}
std::string error_of(std::string_view line) {
  const auto parsed = parse_command(line);
  const ParseError* error = std::get_if<ParseError>(&parsed);
  return error != nullptr ? error->message : "";
}

TEST(ManagementCommand, EachCommand_IsParsed) {
  EXPECT_EQ(command_of("HEALTH").kind, Command::Kind::health);
  EXPECT_EQ(command_of("DUMP").kind, Command::Kind::dump);
  EXPECT_EQ(command_of("LEAVE").kind, Command::Kind::leave);
  EXPECT_EQ(command_of("JOIN").kind, Command::Kind::join);
  EXPECT_EQ(command_of("FLEET").kind, Command::Kind::fleet);
  EXPECT_EQ(command_of("SHARES").kind, Command::Kind::shares);
  EXPECT_EQ(command_of("OFFLINE s-1").kind, Command::Kind::offline);
  EXPECT_EQ(command_of("  ONLINE \t s-5be2a07c  ").kind, Command::Kind::online);
  EXPECT_EQ(command_of("  ONLINE \t s-5be2a07c  ").endpoint_id, "s-5be2a07c");
}

TEST(ManagementCommand, InvalidLine_GivesTheReason) {
  EXPECT_EQ(error_of(""), "the line is empty");
  EXPECT_EQ(error_of(" \t "), "the line is empty");
  EXPECT_NE(error_of("health").find("no such call"), std::string::npos);
  EXPECT_NE(error_of("GET / HTTP/1.1").find("no such call"), std::string::npos);
  EXPECT_EQ(error_of("OFFLINE"), "OFFLINE takes the id of one cache server");
  EXPECT_EQ(error_of("ONLINE a b"), "ONLINE takes the id of one cache server");
  EXPECT_EQ(error_of("DUMP all"), "DUMP takes nothing behind it");
  EXPECT_EQ(error_of("OFFLINE " + std::string(257, 'x')), "an id has 256 bytes at most");
  EXPECT_EQ(error_of(std::string_view("LEAVE\0", 6)), "the line holds bytes that are no text");
  EXPECT_EQ(error_of("LEAVE\x7f"), "the line holds bytes that are no text");
}

TEST(ManagementCommand, LfOrCrLf_EndsALineInPiecesOfAnySize) {
  for (const std::string end : {"\n", "\r\n"})
    for (std::size_t piece = 1; piece <= 12; ++piece) {
      const std::string text = "OFFLINE s-1" + end + "more";
      LineReader reader;
      State state = State::incomplete;
      for (std::size_t at = 0; at < text.size() && state == State::incomplete; at += piece)
        state = reader.append(std::string_view(text).substr(at, piece));
      EXPECT_EQ(state, State::complete);
      EXPECT_EQ(reader.line(), "OFFLINE s-1") << piece;
    }
}

TEST(ManagementCommand, EndOfInput_CompletesTheLine) {
  LineReader reader;
  EXPECT_EQ(reader.append("HEAL"), State::incomplete);
  EXPECT_EQ(reader.append("TH\r"), State::incomplete);
  EXPECT_EQ(reader.finish(), State::complete);
  EXPECT_EQ(reader.line(), "HEALTH");
  LineReader none;
  EXPECT_EQ(none.finish(), State::incomplete);
}

TEST(ManagementCommand, LineOverTheLimit_IsTooLongAndDoesNotGrow) {
  const std::string longest(LineReader::kMaxSize, 'x');
  LineReader fits;
  EXPECT_EQ(fits.append(longest + "\r"), State::incomplete);
  EXPECT_EQ(fits.append("\n"), State::complete);
  EXPECT_EQ(fits.line(), longest);
  LineReader over;
  EXPECT_EQ(over.append(longest + "x"), State::too_long);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(over.append(longest), State::too_long);
  EXPECT_LE(over.line().size(), LineReader::kMaxSize + 2);
}

// Random bytes give the same result in pieces as in one piece.
TEST(ManagementCommand, RandomBytes_GiveTheSameResultInAnyPieces) {
  std::mt19937 random(20261201);
  const std::string letters = "HEALTH DUMPOFFLINE\t\r\n\0\x7f\xff s-1";
  for (int i = 0; i < 5'000; ++i) {
    std::string text;
    for (unsigned length = random() % 40; text.size() < length;) text += letters[random() % letters.size()];
    LineReader whole, pieces;
    const State expected = whole.append(text);
    State state = State::incomplete;
    for (std::size_t at = 0; at < text.size() && state == State::incomplete;) {
      const std::size_t piece = 1 + random() % 5;
      state = pieces.append(std::string_view(text).substr(at, piece));
      at += piece;
    }
    ASSERT_EQ(state, expected);
    if (state == State::complete) {
      ASSERT_EQ(pieces.line(), whole.line());
      const auto parsed = parse_command(whole.line());
      const ParseError* error = std::get_if<ParseError>(&parsed);
      ASSERT_TRUE(error == nullptr || !error->message.empty());
    }
  }
}

}  // namespace
}  // namespace streampick::management::test
