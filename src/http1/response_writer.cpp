#include "http1/response_writer.h"

#include <array>
#include <charconv>
#include <string_view>
#include <utility>

#include "http1/protocol.h"

namespace streampick::http1 {
namespace {

constexpr unsigned kHttp10 = 10;
constexpr unsigned kMethodNotAllowed = 405;

std::string_view reason_phrase(unsigned status) {
  return view(http::obsolete_reason(static_cast<http::status>(status)));
}

}  // namespace

bool ResponseWriter::ends_with_connection(const OutgoingResponse& response, unsigned version) {
  return response.stream && !response.stream->length() && version == kHttp10;
}

void ResponseWriter::start(OutgoingResponse&& response, unsigned version, bool closes) {
  in_flight_ = std::move(response.in_flight);
  stream_ = std::move(response.stream);
  is_chunked_ = stream_ && !stream_->length() && version != kHttp10;
  write_head(response, version, closes);
  body_ = std::move(response.body);
  reservation_ = std::move(response.reservation);
  written_ = 0;
}

void ResponseWriter::write_head(const OutgoingResponse& response, unsigned version, bool closes) {
  const bool is_old = version == kHttp10;
  head_ = is_old ? "HTTP/1.0 " : "HTTP/1.1 ";
  append_number(head_, response.status);
  head_.append(" ").append(reason_phrase(response.status));
  if (!response.content_type.empty()) {
    head_.append("\r\nContent-Type: ").append(response.content_type);
  }
  if (response.retry_after > 0) {
    append_seconds(head_.append("\r\nRetry-After: "), response.retry_after);
  }
  if (response.status == kMethodNotAllowed) {
    head_ += "\r\nAllow: GET, PUT";
  }
  if (closes && !is_old) {
    head_ += "\r\nConnection: close";
  }
  if (!closes && is_old) {
    head_ += "\r\nConnection: keep-alive";
  }
  append_framing(response);
  head_ += "\r\n\r\n";
}

void ResponseWriter::append_framing(const OutgoingResponse& response) {
  if (is_chunked_) {
    head_ += "\r\nTransfer-Encoding: chunked";
  } else if (!stream_) {
    append_number(head_.append("\r\nContent-Length: "), response.body.size());
  } else if (stream_->length()) {
    append_number(head_.append("\r\nContent-Length: "), *stream_->length());
  }
}

ResponseWriter::Progress ResponseWriter::advance(net::tcp::socket& socket) {
  for (;;) {
    while (written_ < head_.size() + body_.size()) {
      net::error_code error;
      written_ += write_rest(socket, head_, body_, written_, error);
      if (error == asio::error::would_block) {
        return Progress::would_block;
      }
      if (error) {
        return Progress::failed;
      }
    }
    if (!stream_) {
      return Progress::complete;
    }
    head_.clear();
    written_ = 0;
    if (stream_->read(body_)) {
      frame_part();
      return Progress::part_ready;
    }
    switch (stream_->state()) {
      case engine::BodyStream::State::open: waits_for_body_ = true; return Progress::waiting_for_body;
      case engine::BodyStream::State::complete: end_body(); break;
      case engine::BodyStream::State::truncated:
        in_flight_.set_result(engine::RequestMetrics::Result::failed);
        return Progress::truncated;
    }
  }
}

void ResponseWriter::frame_part() {
  if (!is_chunked_) {
    return;
  }
  std::array<char, 20> size{};
  char* const end = size.data() + size.size();
  head_.assign(size.data(), std::to_chars(size.data(), end, body_.size(), 16).ptr);
  head_ += "\r\n";
  body_ += "\r\n";
}

void ResponseWriter::end_body() {
  stream_.reset();
  if (is_chunked_) {
    head_ = "0\r\n\r\n";
  }
}

void ResponseWriter::finish() {
  std::string().swap(body_);
  reservation_ = {};
  in_flight_ = {};
}

void ResponseWriter::abandon() {
  std::string().swap(body_);
  reservation_ = {};
  in_flight_ = {};
  stream_.reset();
}

}  // namespace streampick::http1
