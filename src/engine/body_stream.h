/// \file
/// A bounded buffer between the writer and the reader of a body that is forwarded while it arrives: from an
/// upstream to a downstream for a response, the other way round for an upload. No I/O; single-threaded.
///
/// Flow control: write() returns false when the buffer is full, and `on_writable` is called when there is
/// space again. A reader that found nothing to read is notified by `on_readable`.
///
/// `on_readable` is called from within the writer's calls, `on_writable` and `on_reader_closed` from within
/// the reader's, which may be within a call of the engine: a writer must post its reaction to the event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace streampick::engine {

class BodyStream {
 public:
  enum class State : std::uint8_t {
    open,
    complete,   ///< all bytes were written
    truncated,  ///< the body ended early, or its length is not the announced one
  };

  /// `length`: the announced length in bytes; absent if it is known only at the end. `capacity`: number of
  /// buffered bytes at which the writer must pause.
  BodyStream(std::optional<std::uint64_t> length, std::size_t capacity)
      : length_(length), capacity_(capacity) {}

  // ---- The writer's side

  /// Called when there is space again after write() returned false.
  std::function<void()> on_writable;
  /// Called when the reader has closed its side: nothing may be written any more.
  std::function<void()> on_reader_closed;
  /// Returns whether there is space for more; if not, the writer waits for `on_writable`.
  bool write(std::string_view bytes);
  /// Ends the body as complete or truncated. Nothing is written after it.
  void end(State state);

  // ---- The reader's side

  /// Called when there are bytes to read or the body has ended.
  std::function<void()> on_readable;
  [[nodiscard]] const std::optional<std::uint64_t>& length() const { return length_; }
  /// Moves all buffered bytes into `bytes` and reuses its memory as the buffer. Returns false if there were
  /// none.
  bool read(std::string& bytes);
  /// `complete` shows only once all bytes were read, `truncated` at once.
  [[nodiscard]] State state() const {
    return state_ == State::complete && !buffer_.empty() ? State::open : state_;
  }
  void close_reader();

  [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }
  [[nodiscard]] std::uint64_t bytes_read() const { return bytes_read_; }

 private:
  std::optional<std::uint64_t> length_;
  std::size_t capacity_;
  std::uint64_t bytes_written_ = 0;
  std::uint64_t bytes_read_ = 0;
  std::string buffer_;
  State state_ = State::open;
  bool writer_paused_ = false;
  bool reader_open_ = true;
};

/// The reader's ownership of a stream: closes the reader's side on destruction.
class BodyReader {
 public:
  BodyReader() = default;
  explicit BodyReader(std::shared_ptr<BodyStream> stream) : stream_(std::move(stream)) {}
  BodyReader(BodyReader&& other) noexcept : stream_(std::exchange(other.stream_, nullptr)) {}
  BodyReader& operator=(BodyReader&& other) noexcept {
    if (this != &other) {
      reset();
      stream_ = std::exchange(other.stream_, nullptr);
    }
    return *this;
  }
  ~BodyReader() { reset(); }
  explicit operator bool() const { return stream_ != nullptr; }
  BodyStream* operator->() const { return stream_.get(); }
  void reset() {
    if (const auto stream = std::exchange(stream_, nullptr)) stream->close_reader();
  }

 private:
  std::shared_ptr<BodyStream> stream_;
};

}  // namespace streampick::engine
