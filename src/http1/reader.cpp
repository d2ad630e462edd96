#include "http1/reader.h"

#include <algorithm>

namespace streampick::http1 {
namespace {

// Maximum memory reserved for a body when its head is read, in bytes. A longer body allocates as it arrives:
// its Content-Length alone must not cause a large allocation.
constexpr std::size_t kMaxInitialReserve = 16 * kKibibyte;

bool equals(beast::string_view name, std::string_view wanted) {
  return name.size() == wanted.size() &&
         beast::iequals(name, beast::string_view(wanted.data(), wanted.size()));
}

// The field of the head that has this name; null if the router does not use that field.
Field* field_of(RequestHead& head, http::field field, beast::string_view name) {
  switch (field) {
    case http::field::host: return &head.host;
    case http::field::content_length: return &head.framing.length;
    case http::field::transfer_encoding: return &head.framing.coding;
    case http::field::content_type: return &head.content_type;
    case http::field::expect: return &head.expect;
    case http::field::unknown: break;
    default: return nullptr;
  }
  switch (name.size()) {
    case 5:
      if (equals(name, "X-Txn")) {
        return &head.transaction_id;
      }
      return equals(name, "X-Org") ? &head.org : nullptr;
    case 6: return equals(name, "X-Lane") ? &head.lane : nullptr;
    case 10: return equals(name, "X-Estimate") ? &head.estimate : nullptr;
    case 11: return equals(name, "X-Remaining") ? &head.remaining : nullptr;
    case 15: return equals(name, "Idempotency-Key") ? &head.idempotency_key : nullptr;
    default: return nullptr;
  }
}

Field* field_of(ResponseHead& head, http::field field, beast::string_view name) {
  switch (field) {
    case http::field::content_length: return &head.framing.length;
    case http::field::transfer_encoding: return &head.framing.coding;
    case http::field::content_type: return &head.content_type;
    case http::field::unknown: return equals(name, "X-Turned-Away") ? &head.turned_away : nullptr;
    default: return nullptr;
  }
}

}  // namespace

bool Framing::is_unambiguous(unsigned version) const {
  if (length.count > 1) {
    return false;
  }
  if (length.value.find_first_not_of("0123456789") != std::string::npos) {
    return false;
  }
  if (coding.count == 0) {
    return true;
  }
  return coding.count == 1 && version == 11 && length.count == 0 && beast::iequals(coding.value, "chunked");
}

void RequestHead::clear() {
  method = http::verb::unknown;
  version = 11;
  if (target.capacity() > kMaxKeptFieldCapacity) {
    std::string().swap(target);
  }
  target.clear();
  for (Field* field : {&host, &transaction_id, &lane, &remaining, &org, &estimate, &idempotency_key,
                       &content_type, &expect}) {
    field->clear();
  }
  framing.clear();
}

std::size_t RequestHead::size() const {
  std::size_t bytes = target.size();
  for (const Field* field : {&host, &transaction_id, &lane, &remaining, &org, &estimate, &idempotency_key,
                             &content_type, &expect}) {
    bytes += field->value.size();
  }
  return bytes;
}

void ResponseHead::clear() {
  status = 0;
  version = 11;
  for (Field* field : {&content_type, &turned_away}) {
    field->clear();
  }
  framing.clear();
}

template <bool IsRequest>
MessageReader<IsRequest>::MessageReader(Head& head, std::string& body, std::uint64_t max_body)
    : head_(head), body_(body) {
  head_.clear();
  body_.clear();
  this->body_limit(max_body);
  this->header_limit(kMaxHeadSize);
  this->eager(true);
}

template <bool IsRequest>
std::size_t MessageReader<IsRequest>::read(std::string_view bytes, net::error_code& error) {
  std::size_t used = 0;
  while (used < bytes.size() && !this->is_done()) {
    used += this->put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
    if (error == http::error::need_more) {
      // Beast limits the size of a head, but not that of a chunk-size line or a trailer.
      error =
          bytes.size() - used > kMaxHeadSize ? make_error_code(http::error::header_limit) : net::error_code{};
      break;
    }
    if (error) {
      break;
    }
  }
  return used;
}

template <bool IsRequest>
void MessageReader<IsRequest>::on_request_impl(http::verb method, View, View target, int version,
                                               net::error_code&) {
  if constexpr (IsRequest) {
    head_.method = method;
    head_.target.assign(target.data(), target.size());
    head_.version = static_cast<unsigned>(version);
  } else {
    (void)method;
    (void)target;
    (void)version;
  }
}

template <bool IsRequest>
void MessageReader<IsRequest>::on_response_impl(int status, View, int version, net::error_code&) {
  if constexpr (!IsRequest) {
    head_.status = static_cast<unsigned>(status);
    head_.version = static_cast<unsigned>(version);
  } else {
    (void)status;
    (void)version;
  }
}

template <bool IsRequest>
void MessageReader<IsRequest>::on_field_impl(http::field field, View name, View value, net::error_code&) {
  if (Field* known = field_of(head_, field, name)) {
    known->add(view(value));
  }
}

template <bool IsRequest>
void MessageReader<IsRequest>::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                                 net::error_code&) {
  if (length) {
    body_.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, kMaxInitialReserve)));
  }
}

template <bool IsRequest>
std::size_t MessageReader<IsRequest>::on_body_impl(View part, net::error_code&) {
  body_.append(part.data(), part.size());
  return part.size();
}

template <bool IsRequest>
std::size_t MessageReader<IsRequest>::on_chunk_body_impl(std::uint64_t, View part, net::error_code&) {
  body_.append(part.data(), part.size());
  return part.size();
}

template class MessageReader<true>;
template class MessageReader<false>;

}  // namespace streampick::http1
