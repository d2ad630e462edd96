/// \file
/// The writing end of a response body that is forwarded to the client while it still arrives from the server.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "engine/message.h"
#include "net/upstream_resources.h"
#include "streampick/router.h"

namespace streampick::http1 {

class ResponseStream {
 public:
  ResponseStream() = default;
  ~ResponseStream() = default;
  ResponseStream(const ResponseStream&) = delete;
  ResponseStream& operator=(const ResponseStream&) = delete;

  bool open() const { return stream_ != nullptr; }
  /// Opens the stream of a body of `length` bytes; nullopt if the length is known only at the end.
  /// `reservation` is that of the bytes that were buffered, kStreamBufferSize at least. The reader calls the
  /// callbacks, perhaps from within the engine.
  void start(std::optional<std::uint64_t> length, engine::MemoryReservation reservation,
             std::function<void()> on_writable, std::function<void()> on_reader_closed, Time now);
  /// The reading end. Call only once for each stream.
  engine::BodyReader reader() const { return engine::BodyReader(stream_); }
  /// Ends the stream as complete or truncated. The reader may be notified within the call.
  void end(engine::BodyStream::State state);

  std::uint64_t bytes_written() const { return stream_->bytes_written(); }
  /// Moves the bytes to the end of the stream. Unless it was the last part, a full buffer pauses the stream.
  void write(std::string&& bytes, bool last, Time now);
  /// Whether the buffer is full: the server must not be read until resume().
  bool paused() const { return paused_; }
  void resume(Time now);
  /// Whether the server has sent nothing for kStallTimeout, other than during a pause.
  bool is_stalled(Time now) const;

  /// Maximum time between two bytes from the server, in microseconds.
  static constexpr Time kStallTimeout = 5'000'000;

 private:
  std::shared_ptr<engine::BodyStream> stream_;
  Time last_progress_ = 0;
  bool paused_ = false;
};

}  // namespace streampick::http1
