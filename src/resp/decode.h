// An incremental decoder from bytes to RESP values, without I/O. It enforces limits on the lengths, counts
// and nesting that a peer announces, and allocates memory for received bytes, not for announced lengths.
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
  std::size_t line = 4 * 1024;  // bytes of one line: a simple string, an error, a number or an inline command
  std::size_t blob = 64 * 1024;    // bytes of one blob, streamed or not
  std::size_t bytes = 256 * 1024;  // total bytes of all strings within one top-level value
  std::size_t items = 4 * 1024;    // total elements of all aggregates within one top-level value
  std::size_t depth = 8;           // nesting depth of aggregates
  std::size_t pushes = 16;         // pushes that are kept until take_pushes(); further ones are only counted
  bool inline_commands = false;    // a line that starts with no type marker is an inline command
  bool commands_only = false;      // a top-level value must be an array of blobs
};

class Decoder {
 public:
  explicit Decoder(const Limits& limits = {}) : limits_(limits) {}

  // Reads until one top-level value is complete, all bytes are consumed or the input is invalid. Returns the
  // number of consumed bytes, which is 0 until take() is called for a complete value.
  std::size_t put(std::string_view bytes);
  bool done() const { return done_; }
  // Returns the complete value and makes the decoder ready for the next one.
  Value take();
  // Whether the input was invalid; error() describes the fault, and no further bytes are read.
  bool failed() const { return !error_.empty(); }
  const std::string& error() const { return error_; }
  // Whether no part of a further value has been received.
  bool is_idle() const {
    return !done_ && stack_.empty() && line_.empty() && state_ == State::line && !attributes_;
  }

  // Pushes are out-of-band data: they are never a part of another value, even when they arrive within one.
  std::vector<Value> take_pushes();
  std::uint64_t pushes() const { return push_count_; }

 private:
  enum class State : std::uint8_t { line, payload, payload_end };
  struct Frame {
    Value value;
    std::size_t remaining = 0;  // elements that are still missing
    bool streamed = false, attributes = false;
    std::unique_ptr<std::vector<Value>> next_attributes;  // attributes of the next element
  };

  void take_line(std::string_view line);
  void take_inline(std::string_view line);
  void begin_blob(Type type, std::string_view length);
  void begin_aggregate(char marker, std::string_view count);
  void end_payload();
  void complete(Value&& value);
  bool complete_frame();
  bool within_push() const;
  bool count_bytes(std::size_t more);
  bool count_items(std::size_t more);
  void fail(std::string why);

  Limits limits_;
  State state_ = State::line;
  std::string line_;  // the start of a line that an earlier call received
  Value payload_;
  std::size_t payload_remaining_ = 0, terminator_bytes_ = 0;
  bool streamed_blob_ = false;  // the blob is streamed, and its chunks follow
  std::vector<Frame> stack_;
  std::unique_ptr<std::vector<Value>> attributes_;  // of the next top-level value
  std::size_t bytes_ = 0, items_ = 0;
  Value value_;
  bool done_ = false;
  std::vector<Value> pushes_;
  std::uint64_t push_count_ = 0;
  std::string error_;
};

}  // namespace streampick::resp
