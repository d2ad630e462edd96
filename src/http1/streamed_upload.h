/// \file
/// The writing end of a request body that is forwarded to the server while it arrives from the client.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "engine/body_stream.h"

namespace streampick::http1 {

class StreamedUpload {
 public:
  /// Opens the stream. `length` is the body's size; nullopt if the body is chunked. `reservation` is that of
  /// the bytes that were buffered, kStreamBufferSize at least. `on_writable` is called from within the
  /// engine when a paused upload may continue.
  std::shared_ptr<engine::BodyStream> start(std::optional<std::uint64_t> length,
                                            engine::MemoryReservation reservation,
                                            std::function<void()> on_writable);
  /// Moves the bytes into the stream, and pauses the upload when the stream's buffer is full.
  void write(std::string& bytes);
  /// Ends the stream, if the upload is open.
  void end(engine::BodyStream::State state);

  [[nodiscard]] bool is_open() const { return stream_ != nullptr; }
  [[nodiscard]] bool is_paused() const { return is_paused_; }
  void resume() { is_paused_ = false; }

 private:
  std::shared_ptr<engine::BodyStream> stream_;
  bool is_paused_ = false;
};

}  // namespace streampick::http1
