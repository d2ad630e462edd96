#include "management/command.h"

#include <algorithm>
#include <array>
#include <vector>

namespace streampick::management {
namespace {

constexpr std::size_t kMaxIdSize = 256;
constexpr std::string_view kBlanks = " \t";

struct CommandName {
  std::string_view name;
  Command::Kind kind;
  bool takes_id;
};
constexpr std::array<CommandName, 8> kCommands = {{{"HEALTH", Command::Kind::health, false},
                                                   {"DUMP", Command::Kind::dump, false},
                                                   {"OFFLINE", Command::Kind::offline, true},
                                                   {"ONLINE", Command::Kind::online, true},
                                                   {"LEAVE", Command::Kind::leave, false},
                                                   {"JOIN", Command::Kind::join, false},
                                                   {"FLEET", Command::Kind::fleet, false},
                                                   {"SHARES", Command::Kind::shares, false}}};

bool is_control_character(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(character);
  return (byte < kFirstPrintable && character != '\t') || byte == kDelete;
}

std::vector<std::string_view> split(std::string_view line) {
  std::vector<std::string_view> words;
  std::size_t begin = line.find_first_not_of(kBlanks);
  while (begin != std::string_view::npos) {
    const std::size_t end = std::min(line.find_first_of(kBlanks, begin), line.size());
    words.push_back(line.substr(begin, end - begin));
    begin = line.find_first_not_of(kBlanks, end);
  }
  return words;
}

}  // namespace

std::variant<Command, ParseError> parse_command(std::string_view line) {
  if (std::any_of(line.begin(), line.end(), is_control_character))
    return ParseError{"the line holds bytes that are no text"};
  const std::vector<std::string_view> words = split(line);
  if (words.empty()) return ParseError{"the line is empty"};
  const auto* const found = std::find_if(kCommands.begin(), kCommands.end(), [&](const CommandName& command) {
    return command.name == words.front();
  });
  if (found == kCommands.end())
    return ParseError{
        "no such call; there are HEALTH, DUMP, OFFLINE ID, ONLINE ID, LEAVE, JOIN, FLEET and SHARES"};
  const std::string name(found->name);
  if (!found->takes_id) {
    if (words.size() > 1) return ParseError{name + " takes nothing behind it"};
    return Command{found->kind, {}};
  }
  if (words.size() != 2) return ParseError{name + " takes the id of one cache server"};
  const std::string_view id = words[1];
  if (id.size() > kMaxIdSize) return ParseError{"an id has 256 bytes at most"};
  return Command{found->kind, std::string(id)};
}

LineReader::State LineReader::append(std::string_view bytes) {
  if (state_ != State::incomplete) return state_;
  const std::size_t end = bytes.find('\n');
  line_ += bytes.substr(0, std::min({end, bytes.size(), kMaxSize + 2}));
  if (end != std::string_view::npos) state_ = State::complete;
  const bool ends_with_cr = !line_.empty() && line_.back() == '\r';
  if (state_ == State::complete && ends_with_cr) line_.pop_back();
  // A CR at the limit may be the first half of a CR LF.
  const std::size_t max_size = state_ == State::incomplete && ends_with_cr ? kMaxSize + 1 : kMaxSize;
  if (line_.size() > max_size) state_ = State::too_long;
  return state_;
}

LineReader::State LineReader::finish() {
  if (state_ != State::incomplete || line_.empty()) return state_;
  if (line_.back() == '\r') line_.pop_back();
  state_ = State::complete;
  return state_;
}

}  // namespace streampick::management
