// HTTP/1.1 messages read without I/O: Beast's parser finds the parts and their end, and only those fields are
// kept that the router has a use for. Nothing is allocated for a head once the strings have grown.
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

// A field that should stand once: its first value, and how often it stood, in a trailer too.
struct Field {
  std::string value;
  unsigned times = 0;
  // Keeps its memory for the next message's, but not what one peer alone has made large.
  void clear() {
    if (value.capacity() > 512) std::string().swap(value);
    value.clear();
    times = 0;
  }
  void put(std::string_view text) {
    if (times++ == 0) value.assign(text);
  }
};

// Where the message ends must be beyond doubt: what one side takes for its body another may take for the next
// message. Beast refuses a length beside chunks and lengths that differ; it lets pass the same length twice,
// as a list too, codings other than chunked (with the body left in the stream) and a coding in HTTP/1.0.
struct Framing {
  Field length, coding;
  void clear() {
    length.clear();
    coding.clear();
  }
  bool plain(unsigned version) const;
};

struct RequestHead {
  http::verb method = http::verb::unknown;
  unsigned version = 11;
  std::string target;
  Field host, transaction_id, lane, remaining, org, estimate, idempotency_key, content_type, expect;
  Framing framing;
  void clear();
};

struct ResponseHead {
  unsigned status = 0, version = 11;
  Field content_type, turned_away;
  Framing framing;
  void clear();
};

// One message. The head and the body are its owner's and outlive it.
template <bool IsRequest>
class MessageReader final : public http::basic_parser<IsRequest> {
 public:
  using Head = std::conditional_t<IsRequest, RequestHead, ResponseHead>;
  MessageReader(Head& head, std::string& body, std::uint64_t longest_body);

  // Reads on until the message is whole, the bytes are used up or they can't be read; returns how many it
  // used. What it did not use is to be put again, with what follows it: a head is only read line by line.
  // `wrong` is set for bytes that can't be read, never for those that are too few.
  std::size_t read(std::string_view bytes, net::error_code& wrong);

 private:
  using View = beast::string_view;
  void on_request_impl(http::verb method, View name, View target, int version,
                       net::error_code& wrong) override;
  void on_response_impl(int status, View reason, int version, net::error_code& wrong) override;
  void on_field_impl(http::field field, View name, View value, net::error_code& wrong) override;
  void on_header_impl(net::error_code&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, net::error_code& wrong) override;
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
