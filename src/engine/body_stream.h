/// \file
/// A bounded buffer between the writer and the reader of a body that is forwarded while it arrives: from an
/// upstream to a downstream for a response, the other way round for an upload. No I/O; single-threaded.
///
/// Flow control: write() returns false when the buffer is full, and `on_writable` is called when there is
/// space again. A reader that found nothing to read is notified by `on_readable`.
///
/// Memory: the stream holds the reservation for all bytes of the body between the writer and the reader's
/// socket, that is, for its buffer and for the part that the reader was given last. Both sides give up their
/// other buffers when bytes pass.
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

#include "engine/memory_reservation.h"

namespace streampick::engine {

class BodyStream {
 public:
  enum class State : std::uint8_t {
    open,
    complete,   ///< all bytes were written
    truncated,  ///< the body ended early, or its length is not the announced one
  };

  /// `length`: the announced length in bytes; absent if it is known only at the end. `capacity`: number of
  /// buffered bytes at which the writer must pause. `minimum`: the size in bytes that `reservation` keeps
  /// while the body is open; `reservation` may be larger at first, if the first part is.
  BodyStream(std::optional<std::uint64_t> length, std::size_t capacity, MemoryReservation reservation = {},
             std::size_t minimum = 0)
      : length_(length), capacity_(capacity), reservation_(std::move(reservation)), minimum_(minimum) {}

  // ---- The writer's side

  /// Called when there is space again after write() returned false.
  std::function<void()> on_writable;
  /// Called when the reader has closed its side: nothing may be written any more.
  std::function<void()> on_reader_closed;
  /// Returns whether there is space for more; if not, the writer waits for `on_writable`.
  bool write(std::string_view bytes);
  /// As above. Leaves `bytes` empty and without memory of its own.
  bool write_moved(std::string&& bytes);
  /// Ends the body as complete or truncated. Nothing is written after it.
  void end(State state);

  // ---- The reader's side

  /// Called when there are bytes to read or the body has ended.
  std::function<void()> on_readable;
  [[nodiscard]] const std::optional<std::uint64_t>& length() const { return length_; }
  /// Moves all buffered bytes into `bytes`, whose former content, the part that was read before, is released.
  /// Returns false if there were none.
  bool read(std::string& bytes);
  /// `complete` shows only once all bytes were read, `truncated` at once.
  [[nodiscard]] State state() const {
    return state_ == State::complete && !buffer_.empty() ? State::open : state_;
  }
  void close_reader();

  [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }
  [[nodiscard]] std::uint64_t bytes_read() const { return bytes_read_; }

 private:
  bool accepts_bytes() const { return reader_open_ && state_ == State::open; }
  bool on_written(std::size_t bytes);
  void update_reservation();

  std::optional<std::uint64_t> length_;
  std::size_t capacity_;
  MemoryReservation reservation_;  // of buffer_ and of the part that the reader holds
  std::size_t minimum_;            // of the reservation, while the reader is open
  std::uint64_t bytes_written_ = 0;
  std::uint64_t bytes_read_ = 0;
  std::string buffer_;
  std::size_t read_part_ = 0;  // size of the part that the reader holds
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
