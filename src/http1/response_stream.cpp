#include "http1/response_stream.h"

#include "http1/protocol.h"

namespace streampick::http1 {

void ResponseStream::start(std::optional<std::uint64_t> length, engine::MemoryReservation reservation,
                           std::function<void()> on_writable, std::function<void()> on_reader_closed,
                           Time now) {
  stream_ = std::make_shared<engine::BodyStream>(length, kStreamPauseSize, std::move(reservation),
                                                 kStreamBufferSize);
  stream_->on_writable = std::move(on_writable);
  stream_->on_reader_closed = std::move(on_reader_closed);
  last_progress_ = now;
}

void ResponseStream::end(engine::BodyStream::State state) {
  const auto stream = std::exchange(stream_, nullptr);
  stream->on_writable = nullptr;
  stream->on_reader_closed = nullptr;
  paused_ = false;
  stream->end(state);
}

void ResponseStream::write(std::string&& bytes, bool last, Time now) {
  const bool has_space = stream_->write_moved(std::move(bytes));
  last_progress_ = now;
  if (!last) paused_ = !has_space;
}

void ResponseStream::resume(Time now) {
  paused_ = false;
  last_progress_ = now;
}

bool ResponseStream::is_stalled(Time now) const { return !paused_ && now - last_progress_ >= kStallTimeout; }

}  // namespace streampick::http1
