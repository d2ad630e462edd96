#include "http1/response_decoder.h"

namespace streampick::http1 {
namespace {

constexpr int kMaxInterimResponses = 16;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

void ResponseDecoder::start(std::uint64_t max_body) {
  max_body_ = max_body;
  interim_responses_ = 0;
  head_received_ = false;
  parser_.emplace(head_, body_, max_body_);
}

bool ResponseDecoder::skip_interim() {
  if (++interim_responses_ > kMaxInterimResponses) return false;
  head_received_ = false;
  parser_.emplace(head_, body_, max_body_);
  return true;
}

bool ResponseDecoder::decode(std::string_view& bytes) {
  error_ = {};
  bytes.remove_prefix(parser_->read(bytes, error_));
  return !error_;
}

bool ResponseDecoder::take_head_event() {
  if (!parser_->is_header_done()) return false;
  return !std::exchange(head_received_, true);
}

bool ResponseDecoder::complete_at_end_of_connection() const {
  if (!parser_->is_header_done() || head_.status < kOk) return false;
  return head_.status != kOk || parser_->need_eof();
}

// By its number: to Beast's own table not every interim status has a name, and it would take 103 for the
// final response.
bool ResponseDecoder::is_interim() const { return head_.status / 100 == 1; }

std::optional<std::uint64_t> ResponseDecoder::content_length() const {
  const auto length = parser_->content_length();
  if (!length) return std::nullopt;
  return *length;
}

Outcome ResponseDecoder::outcome() const {
  switch (head_.status) {
    case kOk: return Outcome::served;
    case kNotFound: return Outcome::miss;
    case kBadRequest: return Outcome::invalid_request;
    case kServiceUnavailable:
    case kGatewayTimeout:
      // Without the header the server may have run the request: a bare 503 must never allow a write to be
      // sent again.
      return head_.turned_away.value == "1" ? Outcome::overloaded : Outcome::error;
    default: return Outcome::error;
  }
}

}  // namespace streampick::http1
