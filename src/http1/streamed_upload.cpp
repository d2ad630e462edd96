#include "http1/streamed_upload.h"

#include <utility>

#include "http1/protocol.h"

namespace streampick::http1 {

std::shared_ptr<engine::BodyStream> StreamedUpload::start(std::optional<std::uint64_t> length,
                                                          engine::MemoryReservation reservation,
                                                          std::function<void()> on_writable) {
  stream_ = std::make_shared<engine::BodyStream>(length, kStreamPauseSize, std::move(reservation),
                                                 kStreamBufferSize);
  stream_->on_writable = std::move(on_writable);
  return stream_;
}

void StreamedUpload::write(std::string& bytes) { is_paused_ = !stream_->write_moved(std::move(bytes)); }

void StreamedUpload::end(engine::BodyStream::State state) {
  if (!stream_) {
    return;
  }
  const auto stream = std::exchange(stream_, nullptr);
  stream->on_writable = nullptr;
  is_paused_ = false;
  stream->end(state);
}

}  // namespace streampick::http1
