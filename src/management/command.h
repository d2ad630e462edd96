/// The management protocol, without I/O: assembles a line from pieces and parses the command in it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace streampick::management {

struct Command {
  enum class Kind : std::uint8_t { health, dump, offline, online, leave, join, fleet, shares };
  Kind kind = Kind::health;
  std::string endpoint_id = {};  ///< empty when the command takes no endpoint
};

/// Why a line is not a command: a message for the operator who sent it.
struct ParseError {
  std::string message;
};

/// Parses a line without its line end. Words are separated by spaces and tabs; leading and trailing ones are
/// ignored.
std::variant<Command, ParseError> parse_command(std::string_view line);

/// Assembles a line that arrives in pieces. The line ends with LF, with CR LF, or where the sender stops
/// sending.
class LineReader {
 public:
  static constexpr std::size_t kMaxSize = 1'024;  ///< bytes, without the line end
  enum class State : std::uint8_t { incomplete, complete, too_long };

  /// Bytes after the line end are ignored.
  State append(std::string_view bytes);
  /// Ends the input: the sender sends no more. State::incomplete: no line has begun.
  State finish();
  [[nodiscard]] const std::string& line() const { return line_; }
  [[nodiscard]] bool empty() const { return line_.empty(); }

 private:
  std::string line_;
  State state_ = State::incomplete;
};

}  // namespace streampick::management
