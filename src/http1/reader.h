/// \file
/// Parses HTTP/1.1 messages without I/O. Beast's parser finds the parts of a message and its end; only the
/// fields that the router uses are kept. Nothing is allocated for a head once its strings have grown.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

#include "http1/protocol.h"

namespace streampick::http1 {

/// A string with a larger capacity, in bytes, releases its memory between messages.
inline constexpr std::size_t kMaxKeptFieldCapacity = 512;

/// A header field that should occur once: its first value, and the number of its occurrences, trailers
/// included.
struct Field {
  std::string value;
  unsigned count = 0;
  /// Keeps the string's memory for the next message, unless its capacity has grown large.
  void clear() {
    if (value.capacity() > kMaxKeptFieldCapacity) {
      std::string().swap(value);
    }
    value.clear();
    count = 0;
  }
  void add(std::string_view text) {
    if (count++ == 0) {
      value.assign(text);
    }
  }
};

/// The header fields that determine where a message ends. If two HTTP implementations could disagree about
/// the end, one of them might take a part of the body for the next message (request smuggling). Beast rejects
/// Content-Length together with chunked coding, and differing Content-Lengths. It accepts the same
/// Content-Length twice or as a list, codings other than chunked, and Transfer-Encoding in HTTP/1.0.
struct Framing {
  Field length, coding;
  void clear() {
    length.clear();
    coding.clear();
  }
  /// Whether every HTTP implementation finds the same end of the message.
  [[nodiscard]] bool is_unambiguous(unsigned version) const;
};

struct RequestHead {
  http::verb method = http::verb::unknown;
  unsigned version = 11;
  std::string target;
  Field host, transaction_id, lane, remaining, org, estimate, idempotency_key, content_type, expect;
  Framing framing;
  void clear();
  /// Bytes of the texts.
  [[nodiscard]] std::size_t size() const;
};

struct ResponseHead {
  unsigned status = 0, version = 11;
  Field content_type, turned_away;
  Framing framing;
  void clear();
};

/// Parses one message into a head and a body that the caller owns and that must outlive the reader.
template <bool IsRequest>
class MessageReader final : public http::basic_parser<IsRequest> {
 public:
  using Head = std::conditional_t<IsRequest, RequestHead, ResponseHead>;
  MessageReader(Head& head, std::string& body, std::uint64_t max_body);

  /// Parses until the message is complete, the bytes are used up, or they are malformed, which sets `error`.
  /// Returns the number of bytes consumed. The rest must be passed again together with the bytes that follow
  /// it, since a head, a chunk-size line and a trailer are parsed only when they are complete. Without an
  /// error the rest of an incomplete message has at most kMaxHeadSize bytes.
  std::size_t read(std::string_view bytes, net::error_code& error);

 private:
  using View = beast::string_view;
  void on_request_impl(http::verb method, View name, View target, int version,
                       net::error_code& error) override;
  void on_response_impl(int status, View reason, int version, net::error_code& error) override;
  void on_field_impl(http::field field, View name, View value, net::error_code& error) override;
  void on_header_impl(net::error_code&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, net::error_code& error) override;
  std::size_t on_body_impl(View part, net::error_code&) override;
  void on_chunk_header_impl(std::uint64_t, View, net::error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t remain, View part, net::error_code&) override;
  void on_finish_impl(net::error_code&) override {}

  Head& head_;
  std::string& body_;
};

using RequestReader = MessageReader<true>;
using ResponseReader = MessageReader<false>;

}  // namespace streampick::http1
