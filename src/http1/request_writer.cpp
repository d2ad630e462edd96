#include "http1/request_writer.h"

#include <array>
#include <charconv>

#include "http1/protocol.h"

namespace streampick::http1 {
namespace {

// Maximum time in microseconds from formatting the head to writing its last byte (and the last byte of a body
// of up to kMaxUnstreamedBody). The protocol allows X-Remaining to exceed the time left by at most 150 ms.
constexpr Time kMaxHeadAge = 100'000;

constexpr int kChunkSizeBase = 16;

// A head with a larger capacity, in bytes, releases its memory between requests.
constexpr std::size_t kMaxKeptHead = kKibibyte;

}  // namespace

void RequestWriter::start(const engine::Message& message, const std::string& server, Time expires, Time now) {
  message_ = &message;
  formatted_at_ = now;
  written_ = 0;
  upload_begun_ = false;
  body_ = message.upload ? Body::upload : Body::in_memory;
  head_ = message.operation == engine::Operation::write ? "PUT " : "GET ";
  head_.append(message.target).append(" HTTP/1.1\r\nHost: ").append(server);
  head_.append("\r\nX-Txn: ").append(message.transaction_id);
  append_seconds(head_.append("\r\nX-Remaining: "), expires - now);
  if (!message.idempotency_key.empty()) head_.append("\r\nIdempotency-Key: ").append(message.idempotency_key);
  if (!message.content_type.empty()) head_.append("\r\nContent-Type: ").append(message.content_type);
  append_body_framing();
  head_ += "\r\n\r\n";
}

void RequestWriter::append_body_framing() {
  const engine::BodyStream* upload = message_->upload.get();
  if (upload != nullptr && !upload->length()) {
    head_ += "\r\nTransfer-Encoding: chunked";
    return;
  }
  if (message_->operation != engine::Operation::write && message_->body.empty()) return;
  append_number(head_.append("\r\nContent-Length: "),
                upload != nullptr ? *upload->length() : message_->body.size());
}

RequestWriter::Progress RequestWriter::write(net::tcp::socket& socket) {
  while (!complete()) {
    if (part_written()) {
      switch (next_part()) {
        case NextPart::ready: continue;
        case NextPart::starved: return Progress::starved;
        case NextPart::truncated: return Progress::failed;
      }
    }
    net::error_code error;
    written_ += write_rest(socket, head_, current_part(), written_, error);
    if (error == asio::error::would_block) return Progress::blocked;
    if (error) return Progress::failed;
  }
  return Progress::complete;
}

void RequestWriter::clear() {
  message_ = nullptr;
  starved_ = false;
  std::string().swap(upload_part_);
  if (head_.capacity() > kMaxKeptHead) std::string().swap(head_);
}

bool RequestWriter::complete() const { return part_written() && body_ != Body::upload; }

bool RequestWriter::is_deadline_stale(Time now) const {
  if (upload_begun_) return false;
  const bool head_written = written_ >= head_.size();
  if (head_written && message_->body.size() > kMaxUnstreamedBody) return false;
  return now - formatted_at_ > kMaxHeadAge;
}

// The part that is written after head_: of an upload the part of its body that was read last, otherwise the
// whole body.
const std::string& RequestWriter::current_part() const {
  return body_ == Body::in_memory ? message_->body : upload_part_;
}

RequestWriter::NextPart RequestWriter::next_part() {
  engine::BodyStream& upload = *message_->upload;
  starved_ = false;
  upload_begun_ = true;
  head_.clear();
  written_ = 0;
  upload_part_.clear();
  if (upload.read(upload_part_)) {
    if (!upload.length()) frame_part();
    return NextPart::ready;
  }
  switch (upload.state()) {
    case engine::BodyStream::State::complete:
      body_ = Body::upload_ended;
      if (!upload.length()) head_ = "0\r\n\r\n";
      return NextPart::ready;
    case engine::BodyStream::State::open: starved_ = true; return NextPart::starved;
    case engine::BodyStream::State::truncated: break;
  }
  return NextPart::truncated;
}

// Frames the part as a chunk: its size in a line before it, a line end after it.
void RequestWriter::frame_part() {
  std::array<char, 20> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), upload_part_.size(), kChunkSizeBase);
  head_.assign(size.data(), end.ptr);
  head_ += "\r\n";
  upload_part_ += "\r\n";
}

}  // namespace streampick::http1
