#include "engine/body_stream.h"

#include <algorithm>

namespace streampick::engine {

bool BodyStream::write(std::string_view bytes) {
  if (!accepts_bytes()) return false;
  buffer_ += bytes;
  return on_written(bytes.size());
}

bool BodyStream::write_moved(std::string&& bytes) {
  std::string taken = std::move(bytes);
  std::string().swap(bytes);
  if (!accepts_bytes()) return false;
  if (!buffer_.empty()) return write(std::string_view(taken));
  buffer_ = std::move(taken);
  return on_written(buffer_.size());
}

bool BodyStream::on_written(std::size_t bytes) {
  bytes_written_ += bytes;
  writer_paused_ = buffer_.size() >= capacity_;
  update_reservation();
  if (bytes > 0 && on_readable) on_readable();
  // The reader may have read everything, or closed its side, within on_readable().
  return reader_open_ && !writer_paused_;
}

void BodyStream::end(State state) {
  if (state_ != State::open) return;
  const bool length_differs = length_ && bytes_written_ != *length_;
  state_ = state == State::complete && length_differs ? State::truncated : state;
  if (state_ == State::truncated) std::string().swap(buffer_);
  update_reservation();
  if (reader_open_ && on_readable) on_readable();
}

bool BodyStream::read(std::string& bytes) {
  std::string().swap(bytes);
  bytes.swap(buffer_);
  read_part_ = bytes.size();
  update_reservation();
  if (bytes.empty()) return false;
  bytes_read_ += bytes.size();
  if (std::exchange(writer_paused_, false) && on_writable) on_writable();
  return true;
}

void BodyStream::close_reader() {
  if (!std::exchange(reader_open_, false)) return;
  std::string().swap(buffer_);
  read_part_ = 0;
  update_reservation();
  on_readable = nullptr;
  if (state_ == State::open && on_reader_closed) on_reader_closed();
}

// The reservation is that of the bytes that the stream answers for, so the two can't differ.
void BodyStream::update_reservation() {
  const std::size_t minimum = reader_open_ ? minimum_ : 0;
  reservation_.resize(std::max(minimum, buffer_.size() + read_part_));
}

}  // namespace streampick::engine
