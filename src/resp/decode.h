// Bytes to RESP values: incremental, without I/O, nested no deeper than allowed. What a peer announces is
// believed only as far as the limits go, and memory is taken for what has come, never for what was announced.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "resp/value.h"

namespace streampick::resp {

struct Limits {
  std::size_t line = 4 * 1024;     // bytes of a simple text, an error, a number, an inline command
  std::size_t blob = 64 * 1024;    // bytes of one blob, streamed or not
  std::size_t bytes = 256 * 1024;  // bytes of all texts within one top-level value
  std::size_t items = 4 * 1024;    // elements of all aggregates within one top-level value
  std::size_t depth = 8;           // aggregates within aggregates
  std::size_t pushes = 16;         // pushes kept between two top-level values; more are only counted
  bool inline_commands = false;    // a line that begins with no type's mark is a command's words
  bool commands_only = false;      // a top-level value must be an array of blobs
};

class Decoder {
 public:
  explicit Decoder(const Limits& limits = {}) : limits_(limits) {}

  // Reads on until one top-level value is whole, the bytes are used up or they can't be read, and returns how
  // many bytes it used. While a value waits to be taken it uses none.
  std::size_t put(std::string_view bytes);
  bool done() const { return done_; }
  // The value that is whole; the next one may follow.
  Value take();
  // Nothing can be read any more; the text says why.
  bool failed() const { return !error_.empty(); }
  const std::string& error() const { return error_; }
  // Nothing of a further value has come.
  bool at_rest() const {
    return !done_ && stack_.empty() && line_.empty() && state_ == State::line && !attributes_;
  }

  // Pushes are out of band: wherever one stood, it is no part of any value.
  std::vector<Value> take_pushes();
  std::uint64_t pushes() const { return pushes_seen_; }

 private:
  enum class State : std::uint8_t { line, payload, payload_end };
  struct Frame {
    Value value;
    std::size_t left = 0;  // elements that are still to come
    bool streamed = false, attributes = false;
    std::unique_ptr<std::vector<Value>> before;  // attributes waiting for its next element
  };

  void take_line(std::string_view line);
  void take_inline(std::string_view line);
  void begin_blob(Type type, std::string_view length);
  void begin_aggregate(char mark, std::string_view count);
  void end_payload();
  void complete(Value&& value);
  bool complete_frame();
  bool within_push() const;
  bool count_bytes(std::size_t more);
  bool count_items(std::size_t more);
  void fail(std::string why);

  Limits limits_;
  State state_ = State::line;
  std::string line_;  // the part of a line that came in an earlier call
  Value payload_;
  std::size_t payload_left_ = 0, end_seen_ = 0;
  bool chunks_ = false;  // the blob is streamed: its parts follow
  std::vector<Frame> stack_;
  std::unique_ptr<std::vector<Value>> attributes_;  // waiting for the top-level value
  std::size_t bytes_ = 0, items_ = 0;
  Value whole_;
  bool done_ = false;
  std::vector<Value> pushes_;
  std::uint64_t pushes_seen_ = 0;
  std::string error_;
};

}  // namespace streampick::resp
