/// \file
/// Requests and answers as they pass between downstreams and upstreams, independent of any protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "engine/body_stream.h"
#include "engine/memory_reservation.h"
#include "streampick/router.h"

namespace streampick::engine {

/// `read` and `write` of a key's value can be sent to any server. `other_read` and `other_write` are commands
/// of the client's own protocol; an upstream of another protocol rejects them.
enum class Operation : std::uint8_t { read, write, other_read, other_write };

constexpr bool is_write(Operation operation) {
  return operation == Operation::write || operation == Operation::other_write;
}

/// The part of a request that is forwarded to a server unchanged.
struct Message {
  Operation operation = Operation::read;
  std::string target;             ///< the whole request target, as the client sent it
  std::string transaction_id;     ///< 16 hexadecimal digits
  std::string idempotency_key;    ///< empty: none
  std::string content_type;       ///< of the body; empty: not given
  std::string body;               ///< of a write, unless it is streamed
  MemoryReservation memory = {};  ///< of a body that exceeds the usual size
  /// The body of a write that is too long to be buffered. Once part of it was read, the request cannot be
  /// sent again.
  std::shared_ptr<BodyStream> upload = {};
  std::string key;  ///< the part of the target that identifies the object
  /// The words of the client's command, if `key` and `body` do not express all of it. A server of another
  /// protocol can still answer a plain read with the value.
  std::vector<std::string> words;
  bool accepts_streaming = false;  ///< the client accepts a body that is forwarded while it arrives
  bool repeatable = false;         ///< may be sent again, whatever the outcome of earlier attempts

  [[nodiscard]] bool body_consumed() const { return upload && upload->bytes_read() > 0; }
};

/// A server's answer.
struct Answer {
  enum class Form : std::uint8_t {
    value,
    old_value,  ///< the value that a write replaced
    nothing,
    count,
    done,
  };
  std::string content_type;
  std::string body;
  MemoryReservation memory = {};  ///< of a body that exceeds the usual size
  Form form = Form::value;
  std::int64_t count = 0;  ///< of Form::count
  BodyReader stream = {};  ///< the body, if it is streamed; `body` is empty then
};

/// Names an attempt: the request and the attempt's number in it, from 0.
struct AttemptId {
  RequestId request = 0;
  std::uint32_t number = 0;
  friend bool operator==(const AttemptId&, const AttemptId&) = default;
};

}  // namespace streampick::engine
