#include "engine/body_stream.h"

namespace streampick::engine {

bool BodyStream::write(std::string_view bytes) {
  if (!reader_open_ || state_ != State::open) return false;
  bytes_written_ += bytes.size();
  buffer_ += bytes;
  writer_paused_ = buffer_.size() >= capacity_;
  if (!bytes.empty() && on_readable) on_readable();
  // The reader may have read everything, or closed its side, within on_readable().
  return reader_open_ && !writer_paused_;
}

void BodyStream::end(State state) {
  if (state_ != State::open) return;
  const bool length_differs = length_ && bytes_written_ != *length_;
  state_ = state == State::complete && length_differs ? State::truncated : state;
  if (state_ == State::truncated) std::string().swap(buffer_);
  if (reader_open_ && on_readable) on_readable();
}

bool BodyStream::read(std::string& bytes) {
  bytes.clear();
  if (buffer_.empty()) return false;
  bytes.swap(buffer_);
  bytes_read_ += bytes.size();
  if (std::exchange(writer_paused_, false) && on_writable) on_writable();
  return true;
}

void BodyStream::close_reader() {
  if (!std::exchange(reader_open_, false)) return;
  std::string().swap(buffer_);
  on_readable = nullptr;
  if (state_ == State::open && on_reader_closed) on_reader_closed();
}

}  // namespace streampick::engine
